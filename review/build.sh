#!/bin/sh
# Builds the stand-ins that the cases start: members, discovery, clients and links. Needs the JDK alone, no network.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -encoding UTF-8 --release 17 -d build src/*.java
