#!/bin/sh
# Fleet settings that take precedence over those of the configuration: they are read at the start and on SIGHUP, and
# removed again. Invalid ones are refused with the file and the key at fault, and a start with them fails. Without the
# environment variable the file is ignored.
set -eu
program=$1
example=$2
dir=$(mktemp -d)
pid=
trap 'kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
# Loopback addresses of this run, so that parallel tests do not interfere.
own="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
sed -e "s/127.0.0.4:9000/$own.4:9000/; s/127.2.0.1:8500/$own.1:8500/; s/\"zone\": 0/\"zone\": 1/" "$example" > "$dir/config.json"
# Prints a revision with index $1: the example's settings without the machine's own zone, edited by the sed command $2.
revision() {
  printf '{"fleet": "f", "index": %s, "digest": "d", "settings": ' "$1"
  sed -n '/"settings": {/,$p' "$example" | sed -e '1s/.*/{/; /"zone": 0/d; $d' -e "$2"
  echo '}'
}
wait_for() {
  for _ in $(seq 200); do
    grep -q "$1" "$dir/log" && return
    sleep 0.05
  done
  echo "TIMED OUT waiting for $1"
}
# Starts the program with fleet settings from the file $1.
start() {
  : > "$dir/log"
  MARBLEDYKE_SETTINGS=$1 PROXY_CONFIG=$dir/config.json "$program" 2> "$dir/log" &
  pid=$!
}
# Stops the program and prints the log lines about its configuration.
stop() {
  kill -TERM "$pid"
  wait "$pid" && echo "ended in order"
  sed -n 's/^[0-9.]* //; s/'"$own"'/HERE/g; s|'"$dir"'|DIR|g; /configuration\|serving/p' "$dir/log"
}
# Replaces the fleet settings by standard input, reloads, and waits for a log line that matches $1.
reload() {
  cat > "$dir/settings.json.new"
  mv "$dir/settings.json.new" "$dir/settings.json"
  kill -HUP "$pid"
  wait_for "$1"
}
echo "-- not there, then there, then not there"
start "$dir/settings.json"
wait_for gatherer.serving
revision 7 's/"tick": 5000/"tick": 6000/' | reload 'settings_index=7'
revision 8 's/"attempts-cap": 3/"attempts-cap": 0/' | reload 'attempts-cap'
revision 9 's/"connect-timeout": 250000, //' | reload 'connect-timeout'
revision 10 '' | head -c 300 | reload 'not JSON'
echo '[1]' | reload 'not an object'
revision 0 '' | reload 'not positive'
revision 11 's/"tick": 5000/"tick": 6000/' | reload 'settings_index=11'
rm "$dir/settings.json"
kill -HUP "$pid"
wait_for 'settings_index=0'
stop
echo "-- at a start"
revision 12 's/"tick": 5000/"tick": 7000/' > "$dir/settings.json"
start "$dir/settings.json"
wait_for gatherer.serving
stop
echo "-- at a start, not good"
for edit in 's/"attempts-cap": 3/"attempts-cap": 0/' 's/"max-open": 200/"max-open": "many"/'; do
  revision 13 "$edit" > "$dir/settings.json"
  start "$dir/settings.json"
  wait "$pid" || echo "status $?"
  sed 's|'"$dir"'|DIR|g' "$dir/log"
done
echo "-- without the variable"
start ""
wait_for gatherer.serving
kill -HUP "$pid"
wait_for read_again
stop
