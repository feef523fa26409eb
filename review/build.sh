#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use only
# the standard library, so this only checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins are ready"
