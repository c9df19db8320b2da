#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js: there is nothing to compile, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
