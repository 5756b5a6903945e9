#!/bin/bash
# Plays case 9; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/trefoilramp ] && [ -x target/stand-2 ] || exit 2
exec target/stand-2 advice review/9
