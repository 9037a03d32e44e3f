#!/usr/bin/env bash
# Builds all targets in build/, or in the folder that FULMARSHELF_BUILD names.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FULMARSHELF_BUILD:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release "$@" >/dev/null
ninja -C "$build"
