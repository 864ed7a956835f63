#!/usr/bin/env bash
# Runs the example deployment hagerstrom locally: builds, starts the stand-ins
# and six entry instances in three availability zones, applies a configuration
# through the operators' API, sends requests, prints the responses and log
# lines, and stops all processes that it started. The ports are those of
# examples/README.md and must be free.
# Usage: demo.sh [DIRECTORY]: logs and settings go to the directory, by default
# a temporary one that is removed at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

examples=examples/hagerstrom
platform=http://127.0.0.1:7400
operators=http://127.0.0.1:7201
key=sample-hagerstrom-airline-ops
# Time limit for startup and for usage reports, seconds.
limit_s=60

if [ $# -gt 0 ]; then
  work=$1
  mkdir -p "$work"
else
  work=$(mktemp -d)
fi
# Process ids by kind. The script stops only these processes.
instances=()
standins=()

section() { printf '\n== %s\n' "$1"; }

# Stops the remaining processes, also if a step of the script fails.
cleanup() {
  local pid
  for pid in "${instances[@]}" "${standins[@]}"; do
    kill -KILL "$pid" 2> /dev/null || true
  done
  if [ $# -eq 0 ]; then rm -rf "$work"; fi
}
trap 'cleanup "$@"' EXIT

start_standin() {
  local name=$1
  shift
  "$@" 2> "$work/$name.log" &
  standins+=($!)
}

start_instance() {
  local name=$1
  # Short usage windows and a short drain notice to the load balancer reduce the
  # run time.
  {
    cat "$examples/$name.ini"
    printf '\n[usage]\nwindow_s = 5\n\n[admission]\ndrain_notice_ms = 1000\n'
  } > "$work/$name.ini"
  build/comfreypaddle check "$work/$name.ini"
  build/comfreypaddle serve --config "$work/$name.ini" 2> "$work/$name.log" &
  instances+=($!)
}

# Waits until the URL returns a success status.
wait_for() {
  local end=$((SECONDS + limit_s))
  until curl -sf -o /dev/null "$1"; do
    if [ $SECONDS -ge $end ]; then
      echo "no successful response from $1 within $limit_s s" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Sends a request; prints its title, the response body, the status and the time.
ask() {
  local title=$1
  shift
  printf '\n-- %s\n' "$title"
  curl -sS -N --max-time 30 -w '\n[status %{http_code}, %{time_total} s]\n' "$@"
}

# Lists the endpoints of a fleet: name zone port class checks_fencing.
endpoints() {
  sed -n "s/.*\"kind\": \"endpoint\".*\"name\": \"\([^\"]*\)\", \"fleet\": \"$1\", \"availability_zone\": \"\([^\"]*\)\".*\"address\": \"127.0.0.1:\([0-9]*\)\", \"endpoint_class\": \"\([^\"]*\)\", \"checks_fencing\": \([a-z]*\).*/\1 \2 \3 \4 \5/p" \
    "$examples/resources.json"
}

# Sends SIGTERM to processes and prints their exit status.
stop_all() {
  local pid status
  for pid in "$@"; do kill -TERM "$pid" 2> /dev/null || true; done
  for pid in "$@"; do
    status=0
    wait "$pid" || status=$?
    printf 'process %s ended with status %s\n' "$pid" "$status"
  done
}

section "Installing dependencies and building"
tools/install.sh
cmake -S . -B build -G Ninja > /dev/null
ninja -C build comfreypaddle fake_engine fake_service fake_platform load \
  | tail -n 1

section "Starting the stand-ins"
for port in 710{1..6} 720{1..6} 730{1..6} 7400 75{01..12} 760{1..3}; do
  if (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
    echo "port $port is in use" >&2
    exit 1
  fi
done
names=()
for file in "$examples"/*.ini; do names+=("$(basename "$file" .ini)"); done
listed=$(for name in "${names[@]}"; do echo "$name/${name%-*}-a"; done | paste -sd,)
existing=$(endpoints caption-models | while read -r name zone port class checks; do
  entry=$name/caption-models/$zone/$class/127.0.0.1:$port
  if [ "$checks" = true ]; then entry=$entry/checks; fi
  echo "$entry"
done | paste -sd,)
start_standin platform build/fake_platform --port 7400 --instances "$listed" \
  --endpoints "$existing"
while read -r name zone port class checks; do
  start_standin "$name" build/fake_engine --port "$port" --model caption \
    --adapters captions-sv,frames --zone "$zone" --class "$class" \
    --checks_fencing="$checks" --forbidden_secret "$key"
done < <(endpoints caption-models)
while read -r name zone port class checks; do
  start_standin "$name" build/fake_service --port "$port" \
    --forbidden_secret "$key"
done < <(endpoints order-desk)
for port in 7400 $({ endpoints caption-models; endpoints order-desk; } \
    | cut -d' ' -f3); do
  wait_for "http://127.0.0.1:$port/stats"
done
echo "${#standins[@]} stand-ins are responding"

section "Starting six entry instances in three availability zones"
for name in "${names[@]}"; do start_instance "$name"; done
for port in 7201 7202 7203 7204 7205 7206; do
  wait_for "http://127.0.0.1:$port/readyz"
done
echo "${#instances[@]} entry instances are ready"

section "Applying the configuration through instance 1"
build/comfreypaddle apply -f "$examples/resources.json" --server "$operators" \
  > "$work/apply.log"
echo "$(wc -l < "$work/apply.log") lines of output; the last three are:"
tail -n 3 "$work/apply.log"
printf '\nActive routes at instance 6:\n'
build/comfreypaddle get route --server http://127.0.0.1:7206

section "Sending requests"
ask "completion, through instance 1" http://127.0.0.1:7101/v1/completions \
  -H "Authorization: Bearer $key" -H 'X-Request-Id: demo-whole' \
  -d '{"model": "caption", "prompt": "Frame 1041: runway 19R, rain.", "max_tokens": 12}'
ask "streamed completion, through instance 3" \
  http://127.0.0.1:7103/v1/completions \
  -H "Authorization: Bearer $key" -H 'X-Request-Id: demo-stream' \
  -d '{"model": "caption", "prompt": "Frame 1042: taxiing.", "max_tokens": 4, "stream": true}'
ask "completion with an adapter, by the name of its route, through instance 4" \
  http://127.0.0.1:7104/v1/completions \
  -H "Authorization: Bearer $key" -H 'X-Request-Id: demo-adapter' \
  -d '{"model": "captions-sv", "prompt": "Frame 1043: parked.", "max_tokens": 6}'
ask "non-idempotent service call, through instance 5" \
  http://127.0.0.1:7105/orders/1 -H "Authorization: Bearer $key" \
  -H 'X-Request-Id: demo-order' -H 'Idempotency-Key: demo-order-1' -d '{"item": 1}'
ask "the same call again, through instance 2" http://127.0.0.1:7102/orders/1 \
  -H "Authorization: Bearer $key" -H 'X-Request-Id: demo-order-again' \
  -H 'Idempotency-Key: demo-order-1' -d '{"item": 1}'
ask "call of an open route without a key, through instance 4" \
  http://127.0.0.1:7104/orders/hours -H 'X-Request-Id: demo-open'
ask "completion with an unknown key, through instance 6" \
  http://127.0.0.1:7106/v1/completions -H 'Authorization: Bearer unknown' \
  -H 'X-Request-Id: demo-refused' -d '{"model": "caption", "prompt": "x"}'

section "Sending 300 streamed requests over all instances; each token is checked"
targets=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103,127.0.0.1:7104,127.0.0.1:7105,127.0.0.1:7106
loaded=0
build/load --targets $targets --key "$key" --model caption --requests 300 \
  --concurrency 24 --prompt_tokens 400 --output_tokens 40 --spread 0.5 \
  --prefix_tokens 200 --prefixes 4 --strict --verbose || loaded=$?

section "Log lines of the requests"
for name in "${names[@]}"; do
  grep -H 'demo-' "$work/$name.log" | sed "s|^$work/||" || true
done

section "Status of the instances"
servers=$(printf 'http://127.0.0.1:%s,' 7201 7202 7203 7204 7205 7206)
build/comfreypaddle status --server "${servers%,}"

section "Usage reported to the platform"
# Prints the number of the key's completions in all usage reports.
reported() {
  curl -sf $platform/platform/v1/usage | grep -o \
    '"workspace":"airline-ops","target":"caption","requests":"[0-9]*' \
    | awk -F '"' '{sum += $NF} END {print sum + 0}'
}
# Two single completions by model name, and the 300 requests of the load tool.
expected=302
end=$((SECONDS + limit_s))
until [ "$(reported || true)" -ge $expected ] || [ $SECONDS -ge $end ]; do
  sleep 0.5
done
completions=$(reported)
curl -sf $platform/platform/v1/usage | sed 's/{"window"/\n&/g'
echo

section "Summary"
# Prints the number in a field of an object's own level of JSON on stdin.
number() { sed -n "s/.*\"$1\":\"\{0,1\}\([0-9]*\)\"\{0,1\},\"$2\".*/\1/p"; }
tokens=0
leaked=0
used=0
runs=0
while read -r _ _ port _ _; do
  stats=$(curl -sf "http://127.0.0.1:$port/stats")
  count=$(number tokens load <<< "$stats")
  tokens=$((tokens + count))
  if [ "$count" -gt 0 ]; then used=$((used + 1)); fi
  leaked=$((leaked + $(number secret_seen prefix_mismatches <<< "$stats")))
done < <(endpoints caption-models)
while read -r _ _ port _ _; do
  stats=$(curl -sf "http://127.0.0.1:$port/stats")
  runs=$((runs + $(awk -F '"path":"/orders/1"' '{print NF - 1}' <<< "$stats")))
  leaked=$((leaked + $(sed -n 's/.*"secret_seen":\([0-9]*\).*/\1/p' <<< "$stats")))
done < <(endpoints order-desk)
echo "engines that produced tokens: $used of 12, tokens: $tokens"
echo "completions reported as usage: $completions ($expected expected)"
echo "runs of the non-idempotent call: $runs (1 expected)"
echo "requests in which an endpoint saw the caller's key: $leaked (0 expected)"
curl -sf $platform/stats | sed 's/"streams".*//; s/[{"]//g; s/,/\n/g' \
  | grep -E '^(appends|usage_reports|usage_contradictions|usage_stale)' || true

section "Stopping the entry instances, then the stand-ins"
stop_all "${instances[@]}"
instances=()
stop_all "${standins[@]}" > "$work/stop.log"
standins=()
echo "$(grep -c 'status 0$' "$work/stop.log") stand-ins ended with status 0"

[ "$loaded" -eq 0 ] && [ "$completions" -eq $expected ] \
  && [ "$runs" -eq 1 ] && [ "$leaked" -eq 0 ]
