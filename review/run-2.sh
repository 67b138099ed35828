#!/bin/bash
# Runs one case: run-2.sh FOLDER CLASS. Exit 1: the rule was broken, 0: it held, 2: it couldn't run.
root=$(cd "$(dirname "$0")/.." && pwd)
case=$1
class=$2
cd "$root" || exit 2
if [ ! -f "target/review-2/$class.class" ] || ! ls target/crocusgrade-platform/*.jar >/dev/null 2>&1
then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 4 114 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
    -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp target/review-2 "$class" "$root" "$case/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
