#!/usr/bin/env bash
# The main job: installs, builds, and runs the whole path as separate
# processes. Exits non-zero if a request was lost or doubled. --keep leaves it
# running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
exec /usr/bin/env python3 test/e2e/demo.py build "$@"
