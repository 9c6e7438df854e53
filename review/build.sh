#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs of the standard library only, so there
# is nothing to compile: this checks that the interpreter is there and that all of them parse.
set -eu
cd "$(dirname "$0")"
for source in standins/*.py */run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
echo "stand-ins: ready"
