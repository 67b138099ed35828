#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review/ScheduledWork.class ] || exit 2
exec java -Xmx128m -cp target/review ScheduledWork "$here"
