#!/bin/sh
# Starts the driver with a heap that fits the configuration's memory limit. The heap is laid out whole at the start, so
# that what the process holds does not grow: a quarter of the limit; the rest is for code, stacks and buffers.
# No program but the last one is started: where a driver may start no others, a pipe of tr and sed would size it from nothing.
mb=
while IFS= read -r line || [ -n "$line" ]; do
  case $line in
    *'"memory_mb"'*)
      mb=${line#*'"memory_mb"'}
      mb=${mb#"${mb%%[0-9]*}"}
      mb=${mb%%[!0-9]*}
      break ;;
  esac
done 2>/dev/null <"${LB_CONFIG:-/dev/null}"
case $mb in ''|???????*) mb=192 ;; esac
heap=$((mb / 4))
[ "$heap" -le 48 ] || heap=48
[ "$heap" -ge 12 ] || heap=12
# Made by the build; without it a start takes a little longer.
archive=
[ ! -f target/wingroad.jsa ] || archive=-XX:SharedArchiveFile=target/wingroad.jsa
export MALLOC_ARENA_MAX=1
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xshare:auto \
  -Xlog:disable $archive -Xms${heap}m -Xmx${heap}m -Xmn$((heap / 3))m -XX:+AlwaysPreTouch \
  -Xss256k -XX:MaxDirectMemorySize=8m -XX:ReservedCodeCacheSize=16m -jar target/wingroad.jar serve "$@"
