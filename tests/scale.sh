#!/bin/sh
# A small scale run as a person runs it, all parts: it ends by itself, its files are well formed, and no receiver ever
# ran an older revision. No time is judged.
set -eu
lab=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$lab" scale --quick --part lists --out "$dir/out" 2> "$dir/said" || { cat "$dir/said"; exit 1; }
"$lab" scale --quick --part all --seed 2 --out "$dir/out" 2> "$dir/said" || { cat "$dir/said"; exit 1; }
echo "-- files"
ls "$dir/out" | grep -v '\.svg$'
echo "-- tables"
for file in runs conditions results slopes; do
  head -n 1 "$dir/out/$file.csv"
  awk -F, -v file="$file" 'NR == 1 { width = NF } NF != width { bad += 1 } END { print file ": odd lines " bad + 0 }' "$dir/out/$file.csv"
done
awk -F, 'NR > 1 && ($5 !~ /^-?[0-9.e+-]+$/ || $6 > $5 + 1e-4 * ($5 < 0 ? -$5 : $5) || $7 < $5 - 1e-4 * ($5 < 0 ? -$5 : $5) || $8 < 1) { print "odd: " $0 }' "$dir/out/results.csv"
cut -d, -f1 "$dir/out/runs.csv" | sort | uniq | grep -v part
echo "-- what must be there"
for what in memory change_cpu whole_wait part_cpu_at_20 agreement ordinary_p99 ordinary_keepers_last hundredfold_last node_lost_last \
  node_hung_last rack_return_last zone_return_last region_return_last paused_return_last control_core_by_node keeper_core; do
  grep -q ",$what," "$dir/out/results.csv" && echo "$what" || echo "MISSING: $what"
done
echo "-- receivers that ever ran an older revision"
grep ',ran_an_older_one,' "$dir/out/results.csv"
echo "-- refused"
"$lab" scale --part nothing 2>&1 | grep -c 'not in' || true
printf 'part,size\n' > "$dir/out/runs.csv"
"$lab" scale --quick --part lists --out "$dir/out" 2>&1 | sed -n "s|.*$dir/||p" || true
