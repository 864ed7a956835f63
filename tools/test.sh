#!/usr/bin/env bash
# Installs missing packages, builds the project and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja > /dev/null
ninja -C build
# Tests listed in KNOWN-RED.txt run separately; a failure is printed but does
# not fail the run.
known=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -n "$known" ]; then
  ctest --test-dir build --output-on-failure -j "$(nproc)" -E "^($known)$"
  echo "Known failing tests (KNOWN-RED.txt):"
  ctest --test-dir build --output-on-failure -R "^($known)$" || cat KNOWN-RED.txt
else
  ctest --test-dir build --output-on-failure -j "$(nproc)"
fi
