#!/usr/bin/env bash
# Builds everything; the folder is build/ unless FULMARSHELF_BUILD names another.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FULMARSHELF_BUILD:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release "$@" >/dev/null
ninja -C "$build"
