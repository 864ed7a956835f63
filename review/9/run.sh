#!/usr/bin/env bash
# Runs the case on loopback addresses. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out. The build
# of the deploy file and review/build-2.sh come first.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case-9
if [ ! -x "$case" ] || [ ! -x target/comfreypaddle ]; then
  echo "cannot run: build target/comfreypaddle and review/build-2.sh first" >&2
  exit 2
fi
exec "$case" review/9/record.txt
