#!/bin/sh
# Installs what the build needs: the Debian packages that deploy/balancer.toml names. Does nothing where they are there.
set -eu
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
if ! dpkg -s $packages >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $packages
fi
