#!/bin/sh
# The stand-ins are Python scripts (3.11, standard library only): nothing is compiled. This checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py */case.py; do
  python3 -c 'import ast,sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
