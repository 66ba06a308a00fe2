#!/bin/bash
# Builds what the scripts of the cases from 6 on start. Their stand-ins are plain modules for Node.js, so they are only checked;
# the program itself comes from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
test -f target/siskinbeam.cjs || npm run --silent bundle || exit 1
for file in review/harness-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  test ! -f "$file" || node --check "$file" || exit 1
done
