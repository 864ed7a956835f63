#!/usr/bin/env bash
# Fails if a decision module (listed in tools/decision_modules.txt) includes a
# header for HTTP, JSON, protobuf, ACE, sockets or threads, or a project header
# that does not belong to a decision module. Also fails if a name from the
# platform's wire protocol is used outside platform/, or if two headers define a
# type of the same name.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
allowed=$(paste -sd'|' tools/decision_modules.txt)
while read -r module; do
  for file in "src/$module.h" "src/$module.cpp"; do
    [ -e "$file" ] || continue
    if grep -nE '#include <(ace|curl|microhttpd|google|json|jsonrpccpp|sys|netinet|arpa|unistd|thread|mutex|random_device|iostream|fstream)' "$file"; then
      echo "$file: a decision module must not do input or output"; status=1
    fi
    if grep -nE '#include "' "$file" | grep -vE "\"($allowed)\.h\""; then
      echo "$file: a decision module includes a header of another module"; status=1
    fi
    if grep -nE 'steady_clock::now|system_clock::now|random_device' "$file"; then
      echo "$file: a decision module must take time and seeds as arguments"; status=1
    fi
  done
done < tools/decision_modules.txt
names='/comfreypaddle/|Server-Stamp|Attempt-Id|Kv-[A-Z]|Expect-Instance|Fencing-Token|Duty-Holder|keyed\.[a-z]|Not-Executed|[^-]Deadline-Ms|Prompt-Prefix|COMFREYPADDLE_BOOT'
if grep -nE "$names" src/*.h src/*.cpp schema/*.proto; then
  echo "names of the platform's protocol are allowed in platform/ only"; status=1
fi
# Two types of one name in the namespace share the code of templates, so that
# the containers of one may be built for the other.
doubled=$(sed -nE 's/^(struct|class|enum class) ([A-Za-z]+) ?(final )?(: .*)?\{.*/\2/p' src/*.h | sort | uniq -d)
if [ -n "$doubled" ]; then
  echo "types that two headers define:" $doubled; status=1
fi
exit $status
