#!/bin/bash
# Builds what the scripts in review/6 to review/10 start, after the `build` of deploy/balancer.toml. The
# stand-ins need Python's standard library alone. `sandhatch serve`, which review/6 starts, has its own packages.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s pyproject.toml .venv-own/pyproject.toml; then
    rm -rf .venv-own
    python3 -m venv .venv-own
    .venv-own/bin/python -m pip -q install --disable-pip-version-check -e '.[own,planning]'
    cp pyproject.toml .venv-own/pyproject.toml
fi
for folder in sandhatch review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10; do
    if test -e "$folder"; then .venv-own/bin/python -m compileall -q "$folder"; fi
done
