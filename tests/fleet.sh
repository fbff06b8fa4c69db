#!/bin/sh
# The fleet's tool as a person runs it: faults of a file with their lines, two keepers seen and ordered, one that cannot be
# reached and since when, and no gatherer left at the end.
set -eu
bin=$1
source=$2
dir=$(mktemp -d)
pids=
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$dir"' EXIT
own="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
echo "-- files"
"$bin/marbledyke-fleet" check "$source/deploy/fleet-example.xml" | sed 's/.*fleet-example/EXAMPLE/'
cat > "$dir/bad.xml" <<'XML'
<fleet xmlns="urn:marbledyke:fleet:1" name="bad">
  <zone name="a"/>
  <zone name="a"/>
  <keeper name="m0" control="127.0.0.1:7700" zone="a"/>
  <keeper name="m0" control="127.0.0.1:7700" zone="b" groups="first"/>
  <keeper name="m2" control="0.0.0.0:7700" zone="a"/>
  <keeper name="m3" control="nowhere" zone="a" colour="blue"/>
  <keeper name="m4" zone="a"/>
</fleet>
XML
"$bin/marbledyke-fleet" check "$dir/bad.xml" 2>&1 | sed "s|$dir|DIR|" || true
echo "-- keepers"
mkdir "$dir/v"
cp "$bin/marbledyke" "$dir/v/"
for i in 0 1; do
  sed "s/127.0.0.4:9000/$own.$((10 + i)):9000/" "$source/deploy/example.json" > "$dir/v/config.json"
  cp -r "$dir/v" "$dir/v$i"
  "$bin/marbledyke-keeper" --folder "$dir/k$i" --control "$own.$((20 + i)):7700" --name "m$i" --prove 0.3 2> "$dir/log$i" &
  pids="$pids $!"
done
cat > "$dir/fleet.xml" <<XML
<fleet xmlns="urn:marbledyke:fleet:1" name="two">
  <zone name="a"/>
  <keeper name="m0" control="$own.20:7700" zone="a"/>
  <keeper name="m1" control="$own.21:7700" zone="a"/>
</fleet>
XML
f=$dir/fleet.xml
state() { "$bin/marbledyke-fleet" status "$f" --seen "$dir/seen" | sed -n 's/^\(m[0-9]\) *a *\([A-Za-z]*\) *\([a-z0-9]*\).*/\1 \2 \3/p'; }
wait_for() {
  for _ in $(seq 100); do
    [ "$(state | tr '\n' ' ')" = "$1" ] && break
    sleep 0.1
  done
  echo "$(state | tr '\n' ' ')"
}
wait_for "m0 off  m1 off  " > /dev/null
for i in 0 1; do
  "$bin/marbledyke-fleet" order "$f" "m$i" take v1 --from "$dir/v$i"
  for _ in $(seq 50); do "$bin/marbledyke-fleet" status "$f" --json | grep -q '"outcome": "done"' && break; sleep 0.1; done
  sleep 0.2
  "$bin/marbledyke-fleet" order "$f" "m$i" use v1
done
wait_for "m0 serves v1 m1 serves v1 "
"$bin/marbledyke-fleet" order "$f" m0 use v9 || echo "refused"
"$bin/marbledyke-fleet" order "$f" m0 stop --epoch 0 --number 1 || echo "refused"
first=${pids# }
kill -KILL "${first%% *}"
wait "${first%% *}" 2>/dev/null || true
wait_for "m0 UNREACHABLE v1 m1 serves v1 "
"$bin/marbledyke-fleet" status "$f" --seen "$dir/seen" > /dev/null || echo "exit $?"
sleep 2.2
"$bin/marbledyke-fleet" status "$f" --seen "$dir/seen" | grep -q 'UNREACHABLE .* for [2-9] s' && echo "and for how long"
"$bin/marbledyke-keeper" --folder "$dir/k0" --control "$own.20:7700" --name m0 --prove 0.3 2>> "$dir/log0" &
pids="$pids $!"
wait_for "m0 serves v1 m1 serves v1 "
for p in $pids; do kill "$p" 2>/dev/null || true; done
wait || true
pids=
pgrep -f "$dir" > /dev/null && echo "SOMETHING IS LEFT" || echo "nothing is left"
