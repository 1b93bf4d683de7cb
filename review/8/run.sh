#!/bin/sh
# Runs the case that claim.txt describes and writes record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
case=UploadToHungServer
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
for needed in "review-2/$case.class" cinderhollow.jar cinderhollow.jsa; do
    [ -f "$root/target/$needed" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
done
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout 115 java -Xmx512m -cp "$root/target/review-2" "$case" "$root" "$folder" "$temporary" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' TERM INT HUP
wait "$pid"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
