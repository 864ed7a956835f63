#!/usr/bin/env bash
# Installs what is missing, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja > /dev/null
ninja -C build
# Tests in KNOWN-RED.txt are run and printed; they do not fail the run.
known=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -n "$known" ]; then
  ctest --test-dir build --output-on-failure -j "$(nproc)" -E "^($known)$"
  echo "Known red tests:"
  ctest --test-dir build --output-on-failure -R "^($known)$" || cat KNOWN-RED.txt
else
  ctest --test-dir build --output-on-failure -j "$(nproc)"
fi
