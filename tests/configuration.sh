#!/bin/sh
# The fleet's settings with real processes: three control nodes, two keepers with gatherers. Covers a change that is
# agreed and in force everywhere, one that gatherers refuse, two concurrent changes, a control node killed during a
# change, a missing majority, and the settings in force after keepers and gatherers were killed.
set -eu
bin=$1
source=$2
dir=$(mktemp -d)
pids=
# Keepers stop their gatherers, also those that they adopted from a killed keeper.
trap 'for pid in $pids; do kill "$pid" 2>/dev/null || true; done; wait; rm -rf "$dir"' EXIT
address_prefix="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
fleet_file=$dir/fleet.xml
nodes="0 1 2"
start_node() {
  peers=
  for n in $nodes; do [ "$n" = "$1" ] || peers="$peers --peer $address_prefix.$((30 + n)):7720"; done
  "$bin/marbledyke-control" --name "c$1" --region r --fleet two --folder "$dir/c$1" \
    --listen "$address_prefix.$((30 + $1)):7720" $peers 2>> "$dir/clog$1" &
  eval "node$1=$!"
  pids="$pids $!"
}
start_keeper() {
  "$bin/marbledyke-keeper" --folder "$dir/k$1" --control "$address_prefix.$((20 + $1)):7700" --name "m$1" --prove 0.3 \
    --fleet two --zone a --control-node "$address_prefix.30:7720" --control-node "$address_prefix.31:7720" \
    --control-node "$address_prefix.32:7720" --preferred-control-nodes 3 2>> "$dir/log$1" &
  eval "keeper$1=$!"
  pids="$pids $!"
}
fleet() { "$bin/marbledyke-fleet" "$@"; }
configuration_command() {
  fleet configuration "$@" 2>&1 | sed 's/after [0-9]* ms/after N ms/; s|'"$dir"'|DIR|g; s/; c[0-9]: [a-z ]*//g'
}
# The revisions that both keepers have stored, and those that their gatherers run.
revisions_held() {
  fleet status "$fleet_file" --json | tr -d ' \n' |
    grep -o '"good":[0-9a-z]*\|"runs":[0-9a-z]*' | tr '\n' ' ' | tr -d '"'
  echo
}
wait_for() {
  for _ in $(seq 100); do
    "$@" > "$dir/seen" 2>&1 || true
    grep -q "$pattern" "$dir/seen" && return
    sleep 0.1
  done
  echo "TIMED OUT waiting for $pattern"
  cat "$dir/seen"
}
# The settings of the example without the machine's zone, edited with the given sed command.
settings() { sed -n '/"settings": {/,$p' "$source/deploy/example.json" | sed -e '1s/.*/{/; /"zone": 0/d; $d' -e "$1"; }

{
  echo '<fleet xmlns="urn:marbledyke:fleet:1" name="two"><zone name="a"/>'
  for n in $nodes; do echo "<control-node name='c$n' address='$address_prefix.$((30 + n)):7720' region='r'/>"; done
  for i in 0 1; do echo "<keeper name='m$i' control='$address_prefix.$((20 + i)):7700' zone='a'/>"; done
  echo '</fleet>'
} > "$fleet_file"
for n in $nodes; do start_node "$n"; done
mkdir "$dir/v"
cp "$bin/marbledyke" "$dir/v/"
for i in 0 1; do
  start_keeper "$i"
  sed "s/127.0.0.4:9000/$address_prefix.$((10 + i)):9000/" "$source/deploy/example.json" > "$dir/v/config.json"
  cp -r "$dir/v" "$dir/v$i"
  pattern='m'$i' *a *off'
  wait_for fleet status "$fleet_file"
  fleet order "$fleet_file" "m$i" take v1 --from "$dir/v$i" > /dev/null
  for _ in $(seq 50); do fleet status "$fleet_file" --json | grep -q '"outcome": "done"' && break; sleep 0.1; done
  sleep 0.2
  fleet order "$fleet_file" "m$i" use v1 > /dev/null
done
pattern='m0 .*serves .*'
wait_for fleet status "$fleet_file"
pattern='m1 .*serves .*'
wait_for fleet status "$fleet_file"
for tick in 6 7 8 9 10 11; do settings "s/\"tick\": 5000/\"tick\": ${tick}000/" > "$dir/$tick.json"; done
settings 's/"attempts-cap": 3/"attempts-cap": 0/' > "$dir/bad.json"
head -c 300 "$dir/6.json" > "$dir/half.json"
sleep 1.5

echo "-- a file with faults"
cat > "$dir/bad.xml" <<'XML'
<fleet xmlns="urn:marbledyke:fleet:1" name="bad"><zone name="a"/>
  <control-node name="c0" address="127.0.0.1:7720" region="r"/>
  <control-node name="c0" address="127.0.0.1:7720" region="r"/>
  <control-node name="c2" address="0.0.0.0:7720" region="r"/>
  <control-node name="c3" address="nowhere" region="r" voter="perhaps"/>
  <keeper name="m0" control="127.0.0.1:7700" zone="a"/>
</fleet>
XML
fleet check "$dir/bad.xml" 2>&1 | sed "s|$dir|DIR|" || true
sed -i 's/ voter="perhaps"//' "$dir/bad.xml"
fleet check "$dir/bad.xml" 2>&1 | sed "s|$dir|DIR|" || true
echo "-- one change"
configuration_command put "$fleet_file" "$dir/6.json" --author ann --wait 8
pattern=runs:1.*runs:1
wait_for revisions_held
revisions_held
configuration_command put "$fleet_file" "$dir/7.json" --author bob --after 0
configuration_command put "$fleet_file" "$dir/half.json" --author bob
configuration_command status "$fleet_file" | sed 's/for [0-9]* s/for N s/'
echo "-- a change that gatherers refuse"
configuration_command put "$fleet_file" "$dir/bad.json" --author bob --after 1
pattern='REFUSED by m0.*'
wait_for fleet configuration status "$fleet_file"
pattern='REFUSED by m1.*'
wait_for fleet configuration status "$fleet_file"
fleet configuration status "$fleet_file" | sed 's|'"$dir"'|DIR|g' || true
revisions_held
echo "-- two concurrent changes"
configuration_command put "$fleet_file" "$dir/7.json" --author ann --after 2 > "$dir/first" &
one=$!
configuration_command put "$fleet_file" "$dir/8.json" --author bob --after 2 > "$dir/second"
wait "$one"
cat "$dir/first" "$dir/second" | sed 's/ann/WHO/; s/bob/WHO/; s/ is in force.*/ is in force/; s/; .*//' | sort
pattern=runs:3.*runs:3
wait_for revisions_held
revisions_held
echo "-- a control node killed during a change"
configuration_command put "$fleet_file" "$dir/9.json" --author ann --wait 8 > "$dir/first" &
one=$!
sleep 0.02
kill -KILL "$node0"
wait "$one"
sed 's/told to [23]/told to N/' "$dir/first"
configuration_command put "$fleet_file" "$dir/10.json" --author ann --after 4 --wait 8
revisions_held
echo "-- no majority"
kill -KILL "$node1"
fleet configuration put "$fleet_file" "$dir/11.json" --author ann > "$dir/first" || echo "exit $?"
sed 's/:.*//' "$dir/first"
revisions_held
start_node 0
start_node 1
pattern=agreed
wait_for fleet configuration complete "$fleet_file"
configuration_command put "$fleet_file" "$dir/11.json" --author ann --after 5 --wait 8
echo "-- keepers and gatherers killed"
kill -KILL "$keeper0"
sleep 0.2
start_keeper 0
pattern=good:6.*runs:6.*good:6.*runs:6
wait_for revisions_held
revisions_held
for folder in k0 k1; do kill -KILL "$(cut -d' ' -f1 "$dir/$folder/born-0")"; done
sleep 0.5
wait_for revisions_held
revisions_held
fleet configuration show "$fleet_file" | grep '"index"\|"tick"'
configuration_command status "$fleet_file" | sed 's/for [0-9]* s/for N s/'
for pid in $pids; do kill "$pid" 2>/dev/null || true; done
wait || true
pids=
pgrep -f "$dir" > /dev/null && echo "PROCESSES ARE LEFT" || echo "no process is left"
