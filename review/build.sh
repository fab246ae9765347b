#!/bin/sh
# Builds the stand-ins of all cases.
cd "$(dirname "$0")" || exit 1
mkdir -p build
exec javac -d build stand-ins/*.java
