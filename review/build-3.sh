#!/usr/bin/env bash
# Builds what the scripts of this review start besides the program of the deploy file. Their stand-ins are plain
# JavaScript for Node.js without any dependency, so that it only checks that they and the cases parse.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
