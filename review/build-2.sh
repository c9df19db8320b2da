#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules without a dependency, so that there is
# nothing to compile: this checks that each can be parsed, and that the program under review is built.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
test -f target/azureworks.js
