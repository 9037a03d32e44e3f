#!/usr/bin/env bash
# Checks the format of all sources, and lints them with clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FULMARSHELF_BUILD:-build}
mapfile -t sources < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cpp')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -quiet -p "$build" 2>/dev/null
