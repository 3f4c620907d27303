#!/bin/sh
# Checks the stand-ins, which are Python with its standard library only and need no build.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in standins/harness.py [1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
