#!/bin/sh
# The stand-ins are Python (3.9 or later, standard library only): nothing is
# built, but a syntax error or a missing interpreter is found here.
set -e
cd "$(dirname "$0")"
for file in bed.py */case.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
