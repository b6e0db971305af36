#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
case_dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import balsamlug_standins.object_api, review.kit3" || exit 2
exec python3 "$case_dir/play.py"
