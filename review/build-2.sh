#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the JDK alone. Run it after the build of the deploy file.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2" || exit 2
exec javac -Xlint:all -encoding UTF-8 -d "$root/target/review-2" "$root"/review/standins-2/*.java
