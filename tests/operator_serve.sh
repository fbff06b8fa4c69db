#!/bin/sh
# The program with an operator's file: the command line, a start that is refused, SIGHUP with a bad and a good
# file, both kinds of log lines, and that one bad file of two takes nothing from the other.
set -eu
program=$1
source=$2
dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
own="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
told() { sed -e "s/127.0.0.4:9000/$own.4:9000/" -e "s/127.2.0.1:8500/$own.$1:8500/" "$source/deploy/example.json"; }
plain() { sed -e "s|$dir|DIR|g; s|$source|SOURCE|g; s|$own|HERE|g; s|^[0-9.]* ||; s|\"time\":[0-9.]*|\"time\":T|"; }
wait_for() {
  for _ in $(seq 200); do
    grep -q "$1" "$dir/log" && return
    sleep 0.05
  done
  echo "WAITED IN VAIN for $1"
}

echo "-- command line"
"$program" --version | sed 's/[0-9][0-9.]*/N/'
"$program" nonsense >/dev/null 2>&1 && echo "NOT REFUSED" || echo "an unknown word is refused"
"$program" serve --log loud >/dev/null 2>&1 && echo "NOT REFUSED" || echo "an unknown form is refused"

echo "-- check"
printf '<marbledyke xmlns="urn:marbledyke:operator:1">\n<log level="loud"/>\n<lag/>\n</marbledyke>\n' > "$dir/bad.xml"
told 1 | sed 's/"tick": 5000/"tick": "often"/' > "$dir/bad.json"
for file in "$source/deploy/operator-example.xml" "$source/deploy/example.json" "$dir/bad.xml" "$dir/bad.json" "$dir/none"; do
  "$program" check "$file" 2>&1 | plain
  "$program" check "$file" >/dev/null 2>&1 && echo "  exit 0" || echo "  exit not 0"
done
"$program" check "$source/deploy/operator-example.xml" "$dir/bad.xml" >/dev/null && echo "NOT REFUSED" || echo "one bad of two is not 0"

echo "-- a start with a bad file"
told 1 > "$dir/config.json"
: > "$dir/log"  # wait_for may read it before the program has opened it
PROXY_CONFIG=$dir/config.json "$program" serve --operator "$dir/bad.xml" 2>&1 | plain

echo "-- serving"
sed 's/format="json"/format="plain"/' "$source/deploy/operator-example.xml" > "$dir/operator.xml"
: > "$dir/log"  # wait_for may read it before the program has opened it
PROXY_CONFIG=$dir/config.json "$program" serve --operator "$dir/operator.xml" 2> "$dir/log" &
pid=$!
wait_for gatherer.serving
cp "$dir/bad.xml" "$dir/operator.xml"
told 2 > "$dir/config.json"
kill -HUP "$pid"
wait_for 'configuration.refused.*lag'
cp "$source/deploy/operator-example.xml" "$dir/operator.xml"
cp "$dir/bad.json" "$dir/config.json"
kill -HUP "$pid"
wait_for 'configuration.refused.*tick'
told 2 > "$dir/config.json"
kill -HUP "$pid"
wait_for operator_file_read_again
kill -TERM "$pid"
wait "$pid" && echo "ended in order"
pid=
grep -E 'configuration|serving|stopped' "$dir/log" | plain
