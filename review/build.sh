#!/bin/sh
# Builds the stand-ins and the scripts' programs; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
javac --release 17 -encoding UTF-8 -d review/build review/standins/*.java
