#!/usr/bin/env bash
# Runs clang-tidy on the sources that changed since they last passed. The result
# depends only on the file, its headers and the configuration, so a pass is
# cached under the hash of these. Usage: lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cache=${COMFREYPADDLE_LINT_CACHE:-$HOME/.cache/comfreypaddle-lint}
mkdir -p "$cache"
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tests/*.cpp' | grep -v '^src/gen/')
fi
lint_one() {
  local file=$1 headers key
  headers=$(g++ -std=c++20 -MM -I. -Isrc -Istandins -Itests -isystem src/gen -isystem /usr/include/jsoncpp "$file" 2>/dev/null | tr -d '\\\n' | cut -d: -f2-)
  # shellcheck disable=SC2086
  key=$(cat .clang-tidy "$file" $headers 2>/dev/null | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" 2>/dev/null; then touch "$cache/$key"; else echo "lint failed: $file"; return 1; fi
}
export -f lint_one
export build cache
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
