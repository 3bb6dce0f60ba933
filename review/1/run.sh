#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out. Needs the deploy file's build and review/build.sh before.
# record.txt tells what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
: >record.txt || exit 2
if [ ! -f ../build/SecondCopy.class ] || [ ! -f ../../target/wingroad.jar ]; then
  echo "not built: the build line of deploy/balancer.toml, then review/build.sh" | tee record.txt >&2
  exit 2
fi
exec java -Xmx256m -cp ../build SecondCopy record.txt
