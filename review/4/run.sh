#!/usr/bin/env bash
# Exits with 1 if streams that clients take up again do not go on, 0 if they do, 2 if the case could not run.
# TROUBLE=0 leaves out the restarts of engines.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/kit ] && [ -x target/primrosebeam ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/target/kit roll review/4/record.txt
