#!/bin/sh
# `marbledyke-lab capacity` as a person runs it: a page is written, agrees, and is told where it parts from the slopes.
set -eu
lab=$1
slopes=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
say() { sed "s|$dir|DIR|g"; }
status() { "$@" > out 2>&1 && echo "exit 0" || echo "exit $?"; }
for name in $("$lab" capacity --slopes "$slopes" | sed -n 's/^## //p'); do
  printf '<!-- table %s -->\n<!-- end -->\n' "$name"
done > page.md
grep -c table page.md
echo "-- written and checked"
status "$lab" capacity --slopes "$slopes" --check page.md
sed -n '1p' out | say
status "$lab" capacity --slopes "$slopes" --write page.md
status "$lab" capacity --slopes "$slopes" --check page.md
grep -o "\*\*whole list: longest delay of an answer\*\* | \*\*[0-9.]*\*\*" page.md
echo "-- a slope changes"
sed 's/gatherer_list_stop,gatherer,ms,listed_server,2,/gatherer_list_stop,gatherer,ms,listed_server,3,/' "$slopes" > other.csv
status "$lab" capacity --slopes other.csv --check page.md
say < out
echo "-- a figure of the page changes"
sed 's/| \*\*4.1\*\* |/| 0.9 |/' page.md > edited.md
status "$lab" capacity --slopes "$slopes" --check edited.md
sed -n '1p' out | say
echo "-- refused"
sed 's/^change_last,fleet,s,/change_last,fleet,ms,/' "$slopes" > unit.csv
status "$lab" capacity --slopes unit.csv
say < out
sed 's/^change_last,fleet,s,receiver,0.5/change_last,fleet,s,receiver,half/' "$slopes" > number.csv
status "$lab" capacity --slopes number.csv
say < out
status "$lab" capacity --slopes absent.csv
say < out
status "$lab" capacity --slopes "$slopes" --check absent.md
say < out
echo "-- without slopes"
status "$lab" capacity --check page.md
sed -n '1p' out | say
ls
