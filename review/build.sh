#!/bin/sh
# Builds the stand-ins of the cases. Run from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
