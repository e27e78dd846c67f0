#!/bin/bash
# Plays this case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in bin/appleledge bin/appleledgectl review/bin/standins; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/balancer.toml and review/build.sh first"
		exit 2
	fi
done
RECORD="$here/record.txt" exec review/bin/standins dropped-class
