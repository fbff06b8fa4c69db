#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. They need a C++ compiler and nothing else.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out="$here/../build/review"
mkdir -p "$out"
for case in "$here"/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  ${CXX:-c++} -std=c++17 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$case"
done
