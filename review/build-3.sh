#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs without dependencies:
# checks that the interpreter is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.py 1[1-5]/*.py; do
  python3 - "$file" <<'PY'
import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
PY
done
