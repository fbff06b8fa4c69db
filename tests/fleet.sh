#!/bin/sh
# marbledyke-fleet with real keepers: faults of a fleet file with their line numbers, status and orders of two keepers, a
# keeper that is killed and shown as unreachable with its age, and no gatherer left running at the end.
set -eu
bin=$1
source=$2
dir=$(mktemp -d)
pids=
trap 'for pid in $pids; do kill "$pid" 2>/dev/null || true; done; wait; rm -rf "$dir"' EXIT
address_prefix="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
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
  sed "s/127.0.0.4:9000/$address_prefix.$((10 + i)):9000/" "$source/deploy/example.json" > "$dir/v/config.json"
  cp -r "$dir/v" "$dir/v$i"
  "$bin/marbledyke-keeper" --folder "$dir/k$i" --control "$address_prefix.$((20 + i)):7700" --name "m$i" --prove 0.3 2> "$dir/log$i" &
  pids="$pids $!"
done
cat > "$dir/fleet.xml" <<XML
<fleet xmlns="urn:marbledyke:fleet:1" name="two">
  <zone name="a"/>
  <keeper name="m0" control="$address_prefix.20:7700" zone="a"/>
  <keeper name="m1" control="$address_prefix.21:7700" zone="a"/>
</fleet>
XML
fleet_file=$dir/fleet.xml
fleet_state() { "$bin/marbledyke-fleet" status "$fleet_file" --seen "$dir/seen" | sed -n 's/^\(m[0-9]\) *a *\([A-Za-z]*\) *\([a-z0-9]*\).*/\1 \2 \3/p'; }
wait_for() {
  for _ in $(seq 100); do
    [ "$(fleet_state | tr '\n' ' ')" = "$1" ] && break
    sleep 0.1
  done
  echo "$(fleet_state | tr '\n' ' ')"
}
wait_for "m0 off  m1 off  " > /dev/null
for i in 0 1; do
  "$bin/marbledyke-fleet" order "$fleet_file" "m$i" take v1 --from "$dir/v$i"
  for _ in $(seq 50); do "$bin/marbledyke-fleet" status "$fleet_file" --json | grep -q '"outcome": "done"' && break; sleep 0.1; done
  sleep 0.2
  "$bin/marbledyke-fleet" order "$fleet_file" "m$i" use v1
done
wait_for "m0 serves v1 m1 serves v1 "
"$bin/marbledyke-fleet" order "$fleet_file" m0 use v9 || echo "refused"
"$bin/marbledyke-fleet" order "$fleet_file" m0 stop --epoch 0 --number 1 || echo "refused"
first=${pids# }
kill -KILL "${first%% *}"
wait "${first%% *}" 2>/dev/null || true
wait_for "m0 UNREACHABLE v1 m1 serves v1 "
"$bin/marbledyke-fleet" status "$fleet_file" --seen "$dir/seen" > /dev/null || echo "exit $?"
sleep 2.2
"$bin/marbledyke-fleet" status "$fleet_file" --seen "$dir/seen" | grep -q 'UNREACHABLE .* for [2-9] s' && echo "age is shown"
"$bin/marbledyke-keeper" --folder "$dir/k0" --control "$address_prefix.20:7700" --name m0 --prove 0.3 2>> "$dir/log0" &
pids="$pids $!"
wait_for "m0 serves v1 m1 serves v1 "
for pid in $pids; do kill "$pid" 2>/dev/null || true; done
wait || true
pids=
pgrep -f "$dir" > /dev/null && echo "PROCESSES ARE LEFT" || echo "no process is left"
