#!/bin/bash
# Plays the case. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
record=review/3/record.txt
echo "case 3, TROUBLE=${TROUBLE:-1}" >"$record" || exit 2
for program in bin/orchiddrift review/bin/standin; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is missing; build first: the deploy file's build, then review/build.sh" | tee -a "$record" >&2
		exit 2
	fi
done
exec review/bin/standin sameid "$record"
