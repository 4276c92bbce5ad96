#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start beside the nodes:
# stand-ins that need nothing but the interpreter of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
target/venv/bin/python -S -m py_compile review/common-3/standin.py
