#!/bin/bash
# Prints the lines of code and of tests, and the tests' share of all.
set -u
cd "$(dirname "$0")/.." || exit 2
code=$(git ls-files 'src/*.c' 'src/*.h' | grep -v 'pb-c' | xargs -r cat | wc -l)
test=$(git ls-files 'test/*.c' 'test/*.h' 'test/*.sh' 'test/*.py' | xargs -r cat | wc -l)
all=$((code + test))
echo "lines: src $code, test $test, tests' share $((all ? 100 * test / all : 0))%"
