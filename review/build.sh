#!/bin/sh
# Checks the stand-ins and scripts of the cases. They are plain modules that need nothing but Node.js and the build of the deploy
# file, so there is nothing to compile.
cd "$(dirname "$0")" || exit 2
for file in standins/*.mjs ./*/case.mjs; do
  node --check "$file" || exit 1
done
[ -f ../target/catkinwheel-gateway.mjs ] || {
  echo 'build the deploy file first: npm ci && node scripts/bundle.mjs' >&2
  exit 1
}
