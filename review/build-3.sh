#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the packages of the deploy file's build, so compiling them is all there is.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import attrs, tornado" || exit 1
python3 -m compileall -q balsamlug_standins review/kit3.py review/1[1-5]
