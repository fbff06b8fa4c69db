#!/bin/sh
# Walks all worlds of a verifier with so many faults in each, and with a mistake planted where one is named: what it says
# of them, and whether it found an assertion broken, a world that is stuck, or one that goes round for ever.
# Usage: explore.sh VERIFIER FAULTS [PLANT]
folder=$(mktemp -d)
cd "$folder" || exit 2
MARBLEDYKE_FAULTS=$2 MARBLEDYKE_PLANT=${3-} "$1" -l -m1000000 > said 2>&1
grep -E '^(broken|worlds)|^  [a-z0-9].*[^ ]' said | grep -v 'states\|transitions\|steps\|memory\|pml'
grep -o 'errors: [0-9]*' said
grep -E 'max search depth|truncated' said
rm -rf "$folder"
