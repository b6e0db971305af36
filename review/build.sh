#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python modules and use
# the packages that the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q review balsamlug_standins
python3 -c "from balsamlug_standins import members, object_api, plain_servers"
python3 -c "from review import harness"
