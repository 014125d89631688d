#!/bin/sh
# Builds what the cases start beside the project's program: the stand-ins in `lib` and the cases, which need
# nothing but the Python of the deploy file's build and its standard library.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib review/[1-9]
