#!/usr/bin/env bash
# Prepares the scripts of the cases 11 to 15. Their stand-ins are Python files
# that need only its standard library, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "Python 3.11 or newer is needed" >&2; exit 1; }
for file in review/harness-3/harness.py review/1[1-5]/case.py; do
  if [ -e "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
  fi
done
