#!/bin/sh
# One owner at a time: twenty real processes with faults between them, without a fleet and with one; then short histories in
# virtual time. SECONDS of faults for each part (100), SEED (1), DRIVERS (20), HISTORIES (2000). The last line is one JSON
# object; docs/operators/fleet.md says what its figures are.
set -eu
cd "$(dirname "$0")/.."
newest=$(find src/main src/bench src/test pom.xml -newer target/wingroad.jar -type f 2>/dev/null | head -1 || true)
if [ ! -f target/wingroad.jar ] || [ ! -d target/test-classes/wingroad/fleet ] || [ -n "$newest" ]; then
  mvn -B -q -DskipTests package >&2
fi
if [ ! -f target/bench.classpath ] || [ pom.xml -nt target/bench.classpath ]; then
  mvn -B -q dependency:build-classpath -Dmdep.outputFile=target/bench.classpath -Dmdep.includeScope=test >&2
fi
run="java -Xmx2g -cp target/test-classes:target/classes:$(cat target/bench.classpath)"
$run wingroad.fleet.OwnerSim wrong 20
$run wingroad.fleet.OwnerSim 0 "${4:-2000}"
exec $run wingroad.fleet.OwnerBench "${1:-100}" "${2:-1}" "${3:-20}"
