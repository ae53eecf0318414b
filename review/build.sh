#!/usr/bin/env bash
# The stand-ins are Python programs that need the standard library only; this checks that they can
# be compiled. The program under test is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in review/lib/*.py review/[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
