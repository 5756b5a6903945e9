#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/trefoilramp ] || [ ! -x target/reviewstand ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec target/reviewstand memory "$here"
