#!/usr/bin/env bash
# Demonstrates the whole request path, but not the job path: installs packages,
# builds, and runs separate processes. Exits non-zero if a guarantee to callers
# was violated. --keep leaves the processes running and prints their addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
exec /usr/bin/env python3 test/e2e/demo.py build "$@"
