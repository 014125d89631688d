#!/bin/bash
# Builds what the scripts in review/6 to review/10 start, after the `build` of deploy/balancer.toml. The stand-ins
# need Python's standard library alone. `sandhatch serve`, which cases 6, 7 and 8 start, has packages of its own.
# An environment that was carried over is kept only if it runs here, has these packages and leads to this tree.
set -eu
cd "$(dirname "$0")/.."
runs_here() {
    cmp -s pyproject.toml .venv-own/pyproject.toml && .venv-own/bin/python -c '
import pathlib, sys
import httptools, pydantic, re2, uvloop, yaml
import sandhatch
sys.exit(pathlib.Path(sandhatch.__file__).resolve().parent.parent != pathlib.Path.cwd().resolve())
' 2>/dev/null
}
if ! runs_here; then
    rm -rf .venv-own
    python3 -m venv .venv-own
    .venv-own/bin/python -m pip -q install --disable-pip-version-check -e '.[own,planning]'
    cp pyproject.toml .venv-own/pyproject.toml
fi
for folder in sandhatch review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10; do
    .venv-own/bin/python -m compileall -q "$folder"
done
