#!/usr/bin/env bash
# Exits with 1 if a request that must not run twice did so, 0 if none did, 2 if the case could not run.
# TROUBLE=0 leaves out the lost answers.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/kit ] && [ -x target/primrosebeam ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/target/kit replay review/1/record.txt
