#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-ins-2"
rm -rf target
mkdir -p target
exec javac -encoding UTF-8 -d target ./*.java
