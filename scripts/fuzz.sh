#!/usr/bin/env bash
# Runs all decoders on seeded mutations with the address and undefined behaviour
# sanitizers. By hand: scripts/fuzz.sh --seed N --runs N; a failing run is
# repeated with --decoder NAME and the same seed and runs.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FULMARSHELF_SANITIZE_BUILD:-build-sanitize}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DFULMARSHELF_SANITIZE=ON >/dev/null
ninja -C "$build" fuzz_decoders >/dev/null
"$build/tests/fuzz_decoders" tests/fuzz/corpus "$@"
