#!/bin/sh
# Taking machines out for work: eight real processes before eighteen stand-in members on nine machines; no work, the plan, the plan with
# faults, two baselines. Before that short histories in virtual time. SECONDS with faults at the least (160), SEED (1),
# HISTORIES (2000). The last line is one JSON object; docs/operators/work.md says what its figures are.
set -eu
cd "$(dirname "$0")/.."
newest=$(find src/main src/bench src/test pom.xml -newer target/wingroad.jar -type f 2>/dev/null | head -1 || true)
if [ ! -f target/wingroad.jar ] || [ ! -d target/test-classes/wingroad/work ] || [ -n "$newest" ]; then
  mvn -B -q -DskipTests package >&2
fi
if [ ! -f target/bench.classpath ] || [ pom.xml -nt target/bench.classpath ]; then
  mvn -B -q dependency:build-classpath -Dmdep.outputFile=target/bench.classpath -Dmdep.includeScope=test >&2
fi
run="java -Xmx2g -cp target/test-classes:target/classes:$(cat target/bench.classpath)"
$run wingroad.fleet.OwnerSim work wrong 60
$run wingroad.fleet.OwnerSim work 0 "${3:-2000}"
$run wingroad.fleet.OwnerSim work big
exec $run wingroad.work.WorkBench "${1:-160}" "${2:-1}"
