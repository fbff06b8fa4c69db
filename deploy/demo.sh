#!/bin/sh
# Installs, builds, and shows the program at work: a small fleet under load, a server killed and back.
set -eu
cd "$(dirname "$0")/.."
sh deploy/install.sh
cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j4 >/dev/null
exec build/marbledyke-lab demo "$@"
