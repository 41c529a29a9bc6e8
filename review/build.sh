#!/usr/bin/env bash
# Builds what the scripts in review/ start: the router with the command of deploy/system.toml, the
# project's stand-ins, and the stand-ins of review/standin.c. Builds only what is missing.
set -eu
cd "$(dirname "$0")/.."
[ -x target/ashspindle-router ] || {
  meson setup --buildtype=release -Drouter_only=true target && ninja -C target ashspindle-router
}
[ -x build/standin-store ] || { meson setup build && ninja -C build; }
gcc -O2 -Wall -Wextra -o build/review-standin review/standin.c -lpthread
