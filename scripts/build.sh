#!/usr/bin/env bash
# Configures and builds: [TARGETS="A B"] build.sh [DIRECTORY [CMAKE OPTION...]]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
ninja -C "$directory" --quiet ${TARGETS:-all}
