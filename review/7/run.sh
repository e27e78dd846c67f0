#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 does the same without the disruption. Exit: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../standins-2/bin/standins2" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$here/../standins-2/bin/standins2" upgrade "$here/../.." "$here/record.txt"
