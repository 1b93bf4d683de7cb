#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review/Backlog.class ] || [ ! -f target/cinderhollow.jar ] || [ ! -f target/cinderhollow.jsa ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
java -Xmx512m -cp target/review Backlog review/3 &
pid=$!
trap 'kill $pid' TERM INT HUP
wait $pid
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
