#!/usr/bin/env bash
# Formats all sources. With --check, reports unformatted files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'standins/*.h' 'standins/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v '^src/gen/')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
