#!/usr/bin/env bash
# Prepares the scripts of review/6 to review/10. Their stand-ins are Python
# programs that use only the standard library, so nothing is compiled. The
# project's own stand-ins aren't started.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for source in common-2/*.py [6-9]/case.py 10/case.py; do
  if [ -f "$source" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
  fi
done
