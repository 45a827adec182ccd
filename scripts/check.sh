#!/usr/bin/env bash
# The tests: format, build, lint, unit tests, end-to-end tests. Closes with
# "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
exec /usr/bin/env python3 scripts/check.py "$@"
