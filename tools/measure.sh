#!/usr/bin/env bash
# Benchmarks entry instances on this machine. Usage:
#   tools/measure.sh control N...   CPU, memory and log appends of N idle instances
#   tools/measure.sh path           added latency, throughput and memory of one instance
# Starts only processes of this project, on 127.0.0.1 ports from 21000, and
# stops them by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {  # LOG COMMAND...
  local log=$1
  shift
  "$@" > "$work/$log" 2>&1 &
  pids+=($!)
}

wait_for() {  # URL
  for _ in $(seq 200); do
    curl -sf -m 1 "$1" > /dev/null && return 0
    sleep 0.1
  done
  echo "no successful response from $1" >&2
  return 1
}

write_settings() {  # INDEX COUNT
  local index=$1 count=$2 members="" other
  for other in $(seq "$count"); do
    [ "$other" = "$index" ] && continue
    members+="${members:+,
  }entry-$other/r$((other % 5))/127.0.0.1:$((23000 + other))"
  done
  cat > "$work/entry-$index.ini" <<I
[instance]
name = entry-$index
availability_zone = z$((index % 11))
region = r$((index % 5))
deployment = measure
[callers]
port = $((21000 + index))
[operators]
port = $((22000 + index))
[peers]
port = $((23000 + index))
${members:+members = $members}
[log]
url = http://127.0.0.1:20999
[platform]
url = http://127.0.0.1:20999
I
}

cpu_ms() {  # PID: consumed CPU time, milliseconds (100 clock ticks per second)
  awk '{print ($14 + $15) * 10}' "/proc/$1/stat"
}

control() {  # COUNT SECONDS
  local count=$1 seconds=$2 index first=${#pids[@]} entries
  start platform.log "$build/fake_platform" --port 20999 --append_rate 0
  wait_for http://127.0.0.1:20999/stats
  for index in $(seq "$count"); do write_settings "$index" "$count"; done
  for index in $(seq "$count"); do
    start "entry-$index.log" "$build/comfreypaddle" serve --config "$work/entry-$index.ini"
  done
  for index in $(seq "$count"); do wait_for "http://127.0.0.1:$((21000 + index))/readyz"; done
  sleep 5
  entries=("${pids[@]:first + 1}")
  local before=0 after=0 rss=0 pid appends_before appends_after
  appends_before=$(curl -s http://127.0.0.1:20999/stats | grep -oE '"appends":[0-9]+' | cut -d: -f2)
  for pid in "${entries[@]}"; do before=$((before + $(cpu_ms "$pid"))); done
  sleep "$seconds"
  appends_after=$(curl -s http://127.0.0.1:20999/stats | grep -oE '"appends":[0-9]+' | cut -d: -f2)
  for pid in "${entries[@]}"; do
    after=$((after + $(cpu_ms "$pid")))
    rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
  done
  awk -v n="$count" -v s="$seconds" -v c=$((after - before)) -v r="$rss" -v a=$((appends_after - appends_before)) \
    'BEGIN { printf "entries=%d cpu_percent_of_a_core_each=%.3f rss_mb_each=%.1f appends_per_s=%.1f\n", n, c / s / n / 10, r / n / 1024, a / s }'
  for pid in "${pids[@]:first}"; do kill -KILL "$pid"; done
  wait 2>/dev/null || true
  pids=("${pids[@]:0:first}")
}

path() {
  local engine entry_pid key=measure-key hash
  start platform.log "$build/fake_platform" --port 20999
  start engine.log taskset -c 2,3 "$build/fake_engine" --port 20500 --model m --step_us 5000 --prefill_token_us 1 --max_running 4000 --max_queued 4000 --kv_pieces 100000 --load_lag_ms 100
  wait_for http://127.0.0.1:20999/stats
  wait_for http://127.0.0.1:20500/stats
  write_settings 1 1
  start entry.log taskset -c 1 "$build/comfreypaddle" serve --config "$work/entry-1.ini"
  entry_pid=${pids[-1]}
  wait_for http://127.0.0.1:21001/readyz
  hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
  cat > "$work/resources.json" <<J
[{"kind":"workspace","resource":{"name":"w","weight":1}},
 {"kind":"key","resource":{"name":"k","workspace":"w","secret_sha256":"$hash"}},
 {"kind":"model","resource":{"name":"m","version":"1","weights":"m"}},
 {"kind":"fleet","resource":{"name":"f","kind":"engine","model":"m","replicas":1,"concurrency":4000}},
 {"kind":"endpoint","resource":{"name":"e","fleet":"f","availability_zone":"z1","region":"r1","address":"127.0.0.1:20500"}},
 {"kind":"route","resource":{"name":"r","model":"m","fleet":"f","repeatable":true}}]
J
  "$build/comfreypaddle" apply --server http://127.0.0.1:22001 -f "$work/resources.json" > /dev/null
  local load=(taskset -c 4,5 "$build/load" --model m --key "$key" --seed 7 --spread 0)
  echo "direct, 100 requests/s, 20 tokens:"
  "${load[@]}" --mode engine --targets 127.0.0.1:20500 --requests 1000 --rate 100 --concurrency 64 --output_tokens 20 --prompt_tokens 50
  echo "through one entry instance, the same:"
  "${load[@]}" --mode completion --targets 127.0.0.1:21001 --requests 1000 --rate 100 --concurrency 64 --output_tokens 20 --prompt_tokens 50 --stream
  echo "400 streams of 500 tokens through one entry process pinned to one core:"
  local before after
  before=$(cpu_ms "$entry_pid")
  "${load[@]}" --mode completion --targets 127.0.0.1:21001 --requests 800 --concurrency 400 --output_tokens 500 --prompt_tokens 50 --stream
  after=$(cpu_ms "$entry_pid")
  echo "entry_cpu_ms=$((after - before))"
  echo "short whole answers (1 token), requests a second:"
  "${load[@]}" --mode completion --targets 127.0.0.1:21001 --requests 5000 --concurrency 64 --output_tokens 1 --prompt_tokens 50
  echo "resident memory with 1,000 open streams:"
  "${load[@]}" --mode completion --targets 127.0.0.1:21001 --requests 1000 --concurrency 1000 --output_tokens 1500 --prompt_tokens 50 --stream > "$work/open.log" 2>&1 &
  local load_pid=$!
  pids+=("$load_pid")
  sleep 6
  curl -s http://127.0.0.1:21001/readyz > /dev/null
  curl -s http://127.0.0.1:22001/metrics | grep '^comfreypaddle_open_requests'
  grep VmRSS "/proc/$entry_pid/status"
  wait "$load_pid" || true
  cat "$work/open.log"
}

case "${1:-}" in
  control)
    shift
    for count in "$@"; do control "$count" 10; done
    ;;
  path) path ;;
  *)
    echo "usage: tools/measure.sh control N... | path" >&2
    exit 2
    ;;
esac
