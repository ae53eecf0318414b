#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs, which need no build: this
# only checks that they can be read. The programs under test come from the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
