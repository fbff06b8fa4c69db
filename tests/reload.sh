#!/bin/sh
# Starts the program, has it read valid and invalid configurations again on SIGHUP, and stops it. Prints the log lines
# about the configuration: an invalid one is refused with the key at fault, and changes nothing.
set -eu
program=$1
example=$2
dir=$(mktemp -d)
trap 'kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
# Loopback addresses of this run, so that parallel tests do not interfere.
own="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
# Prints the example's configuration with addresses of this run; $1 is the last octet of discovery's.
configuration() { sed -e "s/127.0.0.4:9000/$own.4:9000/" -e "s/127.2.0.1:8500/$own.$1:8500/" "$example"; }
wait_for() {
  for _ in $(seq 200); do
    grep -q "$1" "$dir/log" && return
    sleep 0.05
  done
  echo "TIMED OUT waiting for $1"
}
# Reloads the configuration from standard input, and waits for a log line that matches $1.
reload() { cat > "$dir/config.json"; kill -HUP "$pid"; wait_for "$1"; }

configuration 1 > "$dir/config.json"
: > "$dir/log"  # wait_for may read it before the program has opened it
PROXY_CONFIG=$dir/config.json "$program" 2> "$dir/log" &
pid=$!
wait_for gatherer.serving
configuration 1 | sed 's/"limits": {"cores"/"limits": {"cares"/; s/"sockets": 1024/"sockets": "many"/' | reload 'limits\|sockets'
configuration 1 | head -c 300 | reload 'not JSON'
configuration 1 | sed 's/"attempts-cap": 3/"attempts-cap": 0/' | reload 'attempts-cap'
configuration 1 | sed 's/"tick": 5000/"tick": 6000/' | reload 'settings.tick'
configuration 2 | reload "discovery=$own.2"
kill -TERM "$pid"
wait "$pid" && echo "ended in order"
sed -n 's/^[0-9.]* //; s/'"$own"'/HERE/g; /configuration/p' "$dir/log"
