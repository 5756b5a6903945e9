#!/bin/bash
# Plays the case in this folder; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stage-3 ] || exit 2
exec target/stage-3 silent review/15
