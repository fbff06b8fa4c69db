#!/bin/sh
# The whole tree is as the formatter leaves it (.clang-format at the root); what differs is named with its line.
set -eu
cd "$1"
find src tests bench \( -name '*.cpp' -o -name '*.h' \) -print0 | sort -z | xargs -0 clang-format --dry-run -Werror
echo "formatted"
