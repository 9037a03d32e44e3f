#!/usr/bin/env bash
# Builds the unit and golden tests with the address and undefined behaviour
# sanitizers, and runs them. The unit tests run the parsers on damaged input.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FULMARSHELF_SANITIZE_BUILD:-build-sanitize}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DFULMARSHELF_SANITIZE=ON >/dev/null
ninja -C "$build" unit_tests golden_sessions >/dev/null
"$build/tests/unit_tests"
"$build/tests/golden_sessions" tests/golden
