#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Build first: the build line of deploy/balancer.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/orchiddriftd ] || [ ! -x bin/review-rig2 ]; then
	echo "bin/orchiddriftd or bin/review-rig2 is missing: build first" >&2
	exit 2
fi
exec bin/review-rig2 foreign review/6/record.txt
