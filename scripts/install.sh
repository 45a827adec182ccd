#!/usr/bin/env bash
# Installs the Debian packages that building and testing need; does nothing if
# all are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < scripts/packages.txt
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null |
    grep -vq 'install ok installed' ||
    ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
fi
