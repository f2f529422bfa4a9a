#!/usr/bin/env bash
# Runs the case from the root of the repository, after the build of the deploy file and
# review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/rig same-id review/3/record.txt
