#!/bin/sh
# Builds the programs of the cases review/6 to review/10 into build/review-2, after the build of the deploy file.
# They need a C++20 compiler and nothing else; what of the project's own they start is in build/ already.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/$(basename "$source" .cpp)"
done
