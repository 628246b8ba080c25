#!/usr/bin/env bash
# Exits with 1 if a request that was passed on during a planned stop was cut, 0 if none was, 2 if the case could not run.
# TROUBLE=0 leaves out the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/kit ] && [ -x target/primrosebeam ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/target/kit stop review/5/record.txt
