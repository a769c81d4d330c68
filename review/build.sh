#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: there is nothing to
# compile, only to check. The entry process comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for Program in lib/standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$Program"
done
