#!/bin/sh
# The stand-ins are Python programs that need the standard library only, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import asyncio, json, sys; sys.exit(sys.version_info < (3, 9))'
for file in common/standin.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
