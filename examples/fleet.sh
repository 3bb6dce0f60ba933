#!/bin/sh
# A small fleet on loopback: three members, their discovery and three drivers that vote, with a chore that one of them runs for all.
# From the folder above, after a build:
#   sh examples/fleet.sh
# It says what to type in another terminal to take a member's machine out and bring it back. Enter ends all of it.
set -eu
cd "$(dirname "$0")/.."
dir=target/example-fleet
mkdir -p "$dir"
pids=
trap 'kill $pids 2>/dev/null || true' EXIT INT TERM
# Its standard input stays open until the script ends.
mkfifo "$dir/input" 2>/dev/null || true
exec 3<>"$dir/input"
java examples/Toy.java servers <&3 >"$dir/servers.log" 2>&1 &
pids="$pids $!"
for n in 1 2 3; do
  cat >"$dir/d$n.kdl" <<FILE
fleet "example" {
    driver "d$n"
    listen "127.0.0.1:740$n"
    voter "d1" "127.0.0.1:7401"
    voter "d2" "127.0.0.1:7402"
    voter "d3" "127.0.0.1:7403"
    state "$dir/d$n"
    chore "sweep" every=5 group=1 statement="INSERT INTO records (k, v) VALUES ('swept-{epoch}', '\\\\x01') RETURNING v"
    work {
        watch 2
        machine "rack1" zone="a" { member "toy-5501" group=1 }
        machine "rack2" zone="b" { member "toy-5502" group=1 }
        machine "rack3" zone="c" { member "toy-5503" group=1 }
    }
}
FILE
  sed -e "s/127.0.0.1:6432/127.0.0.1:643$((n + 1))/" -e "s/\"name\": \"toy\"/\"name\": \"d$n\"/" examples/config.json >"$dir/d$n.json"
  LB_CONFIG="$dir/d$n.json" java -Xmx64m -jar target/wingroad.jar serve --operator "$dir/d$n.kdl" >"$dir/d$n.log" 2>&1 &
  pids="$pids $!"
done
tries=0
until grep -q "work: the plan is known" "$dir"/d?.log; do
  tries=$((tries + 1))
  [ "$tries" -lt 60 ] || { echo "it does not come up; see $dir"; exit 1; }
  sleep 0.5
done
cat <<TEXT
Three drivers run; their logs are in $dir. In another terminal:
  java -jar target/wingroad.jar fleet status --operator $dir/d1.kdl
  java -jar target/wingroad.jar work ask rack2 --for 10m --why "first try" --operator $dir/d1.kdl
  java -jar target/wingroad.jar work plan --operator $dir/d1.kdl
  java -jar target/wingroad.jar work show rack2 --operator $dir/d1.kdl
  java examples/Toy.java get greeting
  java -jar target/wingroad.jar work done rack2 --operator $dir/d1.kdl
Enter ends it.
TEXT
read -r _ || true
