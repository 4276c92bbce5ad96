#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. They are Python without further
# libraries, so that it only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python=../target/venv/bin/python
[ -x "$python" ] || {
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
}
for file in common-2/*.py {6,7,8,9,10}/case.py; do
    [ -f "$file" ] || continue
    "$python" -S -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
