#!/bin/sh
# Builds the stand-ins of cases 4 to 8. They are Python programs that use the standard library only, so this checks them.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing (it is in scripts/packages.txt)"; exit 2; }
for file in standins-2/*.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
