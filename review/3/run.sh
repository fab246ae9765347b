#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
mkdir -p "$here/logs" || exit 2
rm -f "$here/logs"/*.log
exec java -Xmx512m -Droot="$root" -Dlogs="$here/logs" -cp "$here/../build" CutRequests "$here/record.txt"
