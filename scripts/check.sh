#!/usr/bin/env bash
# Runs all checks: format, build, lint, unit tests, end-to-end tests. Ends with
# "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
exec /usr/bin/env python3 scripts/check.py "$@"
