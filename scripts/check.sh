#!/usr/bin/env bash
# Runs all checks: format, build, unit tests and end-to-end tests, then the unit
# tests and one end-to-end test with sanitizers, and lint. Ends with
# "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
exec /usr/bin/env python3 scripts/check.py "$@"
