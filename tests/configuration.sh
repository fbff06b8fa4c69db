#!/bin/sh
# Settings for a whole fleet with real processes: three control nodes, two keepers with gatherers. A change agreed and
# in force everywhere, one that gatherers refuse, two at once, a node ended in the middle, no majority, and what keepers
# and gatherers run after they were ended.
set -eu
bin=$1
source=$2
dir=$(mktemp -d)
pids=
# Gatherers are ended by their keepers, in order; those whose keeper was ended by force have been adopted.
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$dir"' EXIT
own="127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))"
f=$dir/fleet.xml
nodes="0 1 2"
start_node() {
  peers=
  for n in $nodes; do [ "$n" = "$1" ] || peers="$peers --peer $own.$((30 + n)):7720"; done
  "$bin/marbledyke-control" --name "c$1" --region r --fleet two --folder "$dir/c$1" --listen "$own.$((30 + $1)):7720" \
    $peers 2>> "$dir/clog$1" &
  eval "node$1=$!"
  pids="$pids $!"
}
start_keeper() {
  "$bin/marbledyke-keeper" --folder "$dir/k$1" --control "$own.$((20 + $1)):7700" --name "m$1" --prove 0.3 \
    --fleet two --zone a --control-node "$own.30:7720" --control-node "$own.31:7720" --control-node "$own.32:7720" \
    --preferred-control-nodes 3 2>> "$dir/log$1" &
  eval "keeper$1=$!"
  pids="$pids $!"
}
fleet() { "$bin/marbledyke-fleet" "$@"; }
settled() {
  fleet configuration "$@" 2>&1 | sed 's/after [0-9]* ms/after N ms/; s|'"$dir"'|DIR|g; s/; c[0-9]: [a-z ]*//g'
}
# What both keepers hold, and what their gatherers run.
held() {
  fleet status "$f" --json | tr -d ' \n' |
    grep -o '"good":[0-9a-z]*\|"runs":[0-9a-z]*' | tr '\n' ' ' | tr -d '"'
  echo
}
wait_for() {
  for _ in $(seq 100); do
    "$@" > "$dir/seen" 2>&1 || true
    grep -q "$want" "$dir/seen" && return
    sleep 0.1
  done
  echo "WAITED IN VAIN for $want"
  cat "$dir/seen"
}
# The example's settings, without the machine's own zone, edited.
settings() { sed -n '/"settings": {/,$p' "$source/deploy/example.json" | sed -e '1s/.*/{/; /"zone": 0/d; $d' -e "$1"; }

{
  echo '<fleet xmlns="urn:marbledyke:fleet:1" name="two"><zone name="a"/>'
  for n in $nodes; do echo "<control-node name='c$n' address='$own.$((30 + n)):7720' region='r'/>"; done
  for i in 0 1; do echo "<keeper name='m$i' control='$own.$((20 + i)):7700' zone='a'/>"; done
  echo '</fleet>'
} > "$f"
for n in $nodes; do start_node "$n"; done
mkdir "$dir/v"
cp "$bin/marbledyke" "$dir/v/"
for i in 0 1; do
  start_keeper "$i"
  sed "s/127.0.0.4:9000/$own.$((10 + i)):9000/" "$source/deploy/example.json" > "$dir/v/config.json"
  cp -r "$dir/v" "$dir/v$i"
  want='m'$i' *a *off'
  wait_for fleet status "$f"
  fleet order "$f" "m$i" take v1 --from "$dir/v$i" > /dev/null
  for _ in $(seq 50); do fleet status "$f" --json | grep -q '"outcome": "done"' && break; sleep 0.1; done
  sleep 0.2
  fleet order "$f" "m$i" use v1 > /dev/null
done
want='m0 .*serves .*'
wait_for fleet status "$f"
want='m1 .*serves .*'
wait_for fleet status "$f"
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
settled put "$f" "$dir/6.json" --author ann --wait 8
want=runs:1.*runs:1
wait_for held
held
settled put "$f" "$dir/7.json" --author bob --after 0
settled put "$f" "$dir/half.json" --author bob
settled status "$f" | sed 's/for [0-9]* s/for N s/'
echo "-- one that gatherers refuse"
settled put "$f" "$dir/bad.json" --author bob --after 1
want='REFUSED by m0.*'
wait_for fleet configuration status "$f"
want='REFUSED by m1.*'
wait_for fleet configuration status "$f"
fleet configuration status "$f" | sed 's|'"$dir"'|DIR|g' || true
held
echo "-- two at once"
settled put "$f" "$dir/7.json" --author ann --after 2 > "$dir/first" &
one=$!
settled put "$f" "$dir/8.json" --author bob --after 2 > "$dir/second"
wait "$one"
cat "$dir/first" "$dir/second" | sed 's/ann/WHO/; s/bob/WHO/; s/ is in force.*/ is in force/; s/; .*//' | sort
want=runs:3.*runs:3
wait_for held
held
echo "-- a node ended in the middle"
settled put "$f" "$dir/9.json" --author ann --wait 8 > "$dir/first" &
one=$!
sleep 0.02
kill -KILL "$node0"
wait "$one"
sed 's/told to [23]/told to N/' "$dir/first"
settled put "$f" "$dir/10.json" --author ann --after 4 --wait 8
held
echo "-- no majority"
kill -KILL "$node1"
fleet configuration put "$f" "$dir/11.json" --author ann > "$dir/first" || echo "exit $?"
sed 's/:.*//' "$dir/first"
held
start_node 0
start_node 1
want=agreed
wait_for fleet configuration complete "$f"
settled put "$f" "$dir/11.json" --author ann --after 5 --wait 8
echo "-- keepers and gatherers ended by force"
kill -KILL "$keeper0"
sleep 0.2
start_keeper 0
want=good:6.*runs:6.*good:6.*runs:6
wait_for held
held
for folder in k0 k1; do kill -KILL "$(cut -d' ' -f1 "$dir/$folder/born-0")"; done
sleep 0.5
wait_for held
held
fleet configuration show "$f" | grep '"index"\|"tick"'
settled status "$f" | sed 's/for [0-9]* s/for N s/'
for p in $pids; do kill "$p" 2>/dev/null || true; done
wait || true
pids=
pgrep -f "$dir" > /dev/null && echo "SOMETHING IS LEFT" || echo "nothing is left"
