#!/usr/bin/env bash
# The demonstration job: installs, builds, and runs the whole request path as
# separate processes. Exits non-zero if a request was lost or executed twice.
# --keep leaves the processes running and prints their addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
exec /usr/bin/env python3 test/e2e/demo.py build "$@"
