#!/usr/bin/env bash
# Runs one decoder under libFuzzer: scripts/fuzz_coverage.sh DECODER SECONDS.
# Inputs with new coverage stay in build-fuzz/inputs/DECODER. An input that
# fails belongs into tests/fuzz/corpus/DECODER, which CI runs.
set -euo pipefail
cd "$(dirname "$0")/.."
decoder=$1
seconds=$2
build=${FULMARSHELF_FUZZ_BUILD:-build-fuzz}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_COMPILER=clang++ -DFULMARSHELF_SANITIZE=ON \
  -DFULMARSHELF_FUZZER=ON -DFULMARSHELF_BUILD_TOOLS=OFF >/dev/null
ninja -C "$build" fuzz_coverage fuzz_decoders >/dev/null
inputs="$build/inputs/$decoder"
mkdir -p "$inputs"
"$build/tests/fuzz_decoders" tests/fuzz/corpus --decoder "$decoder" --runs 0 \
  --write-examples "$inputs"
corpus=tests/fuzz/corpus/$decoder
mkdir -p "$corpus"
FULMARSHELF_DECODER=$decoder "$build/tests/fuzz_coverage" "$inputs" "$corpus" \
  -max_total_time="$seconds" -timeout=10 -rss_limit_mb=2048 -max_len=65536 \
  -artifact_prefix="$build/failed-$decoder-" -print_final_stats=1
