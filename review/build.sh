#!/bin/sh
# Builds the stand-ins of the scripts: they are Python files that need only the standard library.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
