#!/usr/bin/env bash
# Installs the missing Debian packages of tools/packages.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f '${Status}\n' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done < tools/packages.txt
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
