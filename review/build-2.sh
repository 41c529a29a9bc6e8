#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start (review/4 and later), into
# target/review-2. The build of the deploy file must have run. Needs only its packages.
set -eu
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
for name in store ranks; do
  # shellcheck disable=SC2046 # lists of compiler flags
  gcc -std=gnu11 -O1 -D_GNU_SOURCE -DASH_VERSION='"review"' -fno-strict-aliasing -I. \
    $(pkg-config --cflags libsodium libxxhash jansson libprotobuf-c) \
    "test/standin_$name.c" -o "$out/standin-$name" \
    target/libash-http.a target/libash-links.a target/libash-core.a \
    $(pkg-config --libs libsodium libxxhash jansson libprotobuf-c tomlplusplus) \
    -lev -lhttp_parser -lm -lstdc++
  echo "built $out/standin-$name"
done
