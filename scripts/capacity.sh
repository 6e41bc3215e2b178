#!/usr/bin/env bash
# Measures the costs used in docs/CAPACITY.md, each at four or more sizes:
# scripts/capacity.sh [--part core|idle|load|config|pages]...
# Writes docs/capacity/QUANTITY.csv (size,value) and its plot, and prints each
# least-squares fit with its residuals. All parts take about eight minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

parts=()
while [ $# -gt 0 ]; do
  case "$1" in
    --part) parts+=("${2:?--part needs a name}"); shift 2 ;;
    *) sed -n '2,5s/^# //p' "$0" >&2; exit 2 ;;
  esac
done
[ "${#parts[@]}" -gt 0 ] || parts=(core idle load config pages)

scripts/install.sh
scripts/build.sh release

bin=$PWD/build/release
out=$PWD/docs/capacity
work=$(mktemp -d)
results=$work/results.csv
net=127.5
ticks=$(getconf CLK_TCK)
all_pids=()
mkdir -p "$out"
: >"$results"

# Processes are disowned so that the shell does not report their exit.
stop_all () {
  local pid
  for pid in "${all_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${all_pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  all_pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

record () { # quantity, size, value
  echo "$1,$2,$3" >>"$results"
}

wait_for () { # seconds, what, command...
  local end=$((SECONDS + $1)) what=$2; shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then echo "timed out waiting for $what" >&2; exit 1; fi
    sleep 0.05
  done
}

start_standin () { # name, address
  rm -f "$work/$2"
  "$bin/standin_$1" --address "$2:0" --ready-file "$work/$2" \
    --stop-after-ms 600000 >"$work/$1.log" 2>&1 &
  all_pids+=($!)
  disown
  wait_for 10 "stand-in $1" test -s "$work/$2"
}

# The number of a fleet is the third octet of its addresses: hosts are
# $net.FLEET.N, its platform $net.FLEET.201 and engine $net.FLEET.202.
platform_of () { cat "$work/$net.$1.201"; }

start_platform () { # fleet, workspaces, budgets
  start_standin object_api "$net.$1.201"
  start_standin engine "$net.$1.202"
  "$bin/bench_capacity_load" fill "$(platform_of "$1")" "$2" "$3" \
    "$(cat "$work/$net.$1.202")"
}

start_host () { # fleet, number, extra settings
  local ip=$net.$1.$2
  cat >"$work/host-$1-$2.json" <<JSON
{"host": "host-$2", "zone": "zone-$(($2 % 7))",
 "caller_address": "$ip:18080", "operator_address": "$ip:18081",
 "peer_address": "$ip:18082", "worker_threads": 1,
 "platform": {"url": "http://$(platform_of "$1")"}${3:-}}
JSON
  "$bin/daisystep" serve --config "$work/host-$1-$2.json" \
    2>"$work/host-$1-$2.log" &
  all_pids+=($!)
  echo $! >"$work/host-$1-$2.pid"
  disown
}

pid_of () { cat "$work/host-$1-$2.pid"; }

wait_ready () { # fleet, number
  wait_for 90 "ready host $1 $2" curl -fsS "http://$net.$1.$2:18081/healthz"
}

start_fleet () { # fleet, hosts, extra settings
  local i
  for i in $(seq "$2"); do start_host "$1" "$i" "${3:-}"; done
  for i in $(seq "$2"); do wait_ready "$1" "$i"; done
}

urls () { # fleet, hosts, port, path
  local i
  for i in $(seq "$2"); do echo "http://$net.$1.$i:$3$4"; done
}

sum_metric () { # fleet, hosts, pattern
  # shellcheck disable=SC2046
  curl -fsS $(urls "$1" "$2" 18081 /metrics) \
    | awk -v p="^daisystep_($3) " '$0 ~ p { sum += $2 } END { printf "%d", sum }'
}

sum_cpu () { # fleet, hosts: clock ticks, user and system
  local i
  for i in $(seq "$2"); do cat "/proc/$(pid_of "$1" "$i")/stat"; done \
    | awk '{ sub (/.*\) /, ""); sum += $12 + $13 } END { printf "%d", sum }'
}

sum_rss_kib () { # fleet, hosts
  local i
  for i in $(seq "$2"); do cat "/proc/$(pid_of "$1" "$i")/status"; done \
    | awk '/^VmRSS/ { sum += $2 } END { printf "%d", sum }'
}

api_stat () { # fleet, name
  curl -fsS "http://$(platform_of "$1")/standin/stats" | jq ".$2"
}

count_links () { # fleet, hosts
  # shellcheck disable=SC2046
  curl -fsS $(urls "$1" "$2" 18081 /v1/dump) \
    | jq -s '[.[].fleet.members[] | select(.up)] | length'
}

snapshot () { # fleet, hosts: time cpu bytes reads writes watches conflicts
  echo "$(date +%s.%N) $(sum_cpu "$1" "$2") $(sum_metric "$1" "$2" \
    'peer_bytes_sent_total|peer_bytes_received_total') $(curl -fsS \
    "http://$(platform_of "$1")/standin/stats" \
    | jq -r '"\(.reads) \(.writes) \(.watches) \(.conflicts)"')"
}

# Appends the rates per host and second between two snapshots to $results.
record_rates () { # prefix, size, hosts, before, after
  awk -v prefix="$1" -v size="$2" -v hosts="$3" -v hz="$ticks" \
    -v a="$4" -v b="$5" 'BEGIN {
      split (a, x, " "); split (b, y, " ")
      s = (y[1] - x[1]) * hosts
      split ("- cpu_percent peer_bytes reads writes watches conflicts", name, " ")
      for (i = 2; i <= 7; i++)
        printf "%s_%s,%s,%.6g\n", prefix, name[i], size, \
          (y[i] - x[i]) / s * (i == 2 ? 100 / hz : 1)
    }' >>"$results"
}

measure_idle () {
  local hosts before after
  for hosts in 3 6 12 24 48 72; do
    start_platform 1 10 10
    start_fleet 1 "$hosts"
    sleep 5
    before=$(snapshot 1 "$hosts")
    sleep 10
    after=$(snapshot 1 "$hosts")
    record_rates idle "$hosts" "$hosts" "$before" "$after"
    # Since the start of the fleet: each write of a Host object completes the
    # watch of every host.
    record idle_start_watches "$hosts" $(($(api_stat 1 watches) / hosts))
    record idle_rss_kib "$hosts" $(($(sum_rss_kib 1 "$hosts") / hosts))
    record idle_links "$hosts" \
      "$(awk -v l="$(count_links 1 "$hosts")" -v h="$hosts" 'BEGIN { print l / h }')"
    record idle_address_bytes "$hosts" "$(curl -fsS -H 'Authorization: Bearer key-1' \
      "http://$net.1.1:18080/v1/address" | wc -c)"
    stop_all
  done
}

measure_load () {
  local hosts rate i addresses before after answer
  for hosts in 3 6 12; do
    start_platform 1 400 400
    start_fleet 1 "$hosts"
    sleep 3
    addresses=$(for i in $(seq "$hosts"); do echo "$net.1.$i:18080"; done)
    for rate in 5 10 20 40; do
      before=$(snapshot 1 "$hosts")
      # shellcheck disable=SC2086
      answer=$("$bin/bench_capacity_load" run "$rate" 10 400 $addresses)
      after=$(snapshot 1 "$hosts")
      record_rates "load${hosts}" "$rate" "$hosts" "$before" "$after"
      echo "load: $hosts hosts, $rate requests/s a host: sent, whole, other: $answer"
    done
    stop_all
  done
}

is_in_force () { # objects
  [ "$(curl -fsS "http://$net.1.1:18081/v1/dump" | jq .catalogue.objects)" -ge "$1" ]
}

# Measures the start of a host with many declared workspaces and budgets.
measure_config () {
  local count begin
  start_platform 1 10 10
  for count in 5000 10000 20000 43000; do
    "$bin/bench_capacity_load" fill "$(platform_of 1)" "$count" \
      $((count * 20 / 43)) "$(cat "$work/$net.1.202")"
    begin=$(date +%s.%N)
    start_host 1 1 ', "backups": 0'
    wait_for 200 "configuration in force" is_in_force $((count + count * 20 / 43 + 2))
    record config_start_seconds "$count" "$(awk -v a="$begin" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')"
    sleep 2
    record config_start_cpu_seconds "$count" \
      "$(awk -v c="$(sum_cpu 1 1)" -v hz="$ticks" 'BEGIN { print c / hz }')"
    record config_rss_kib "$count" "$(sum_rss_kib 1 1)"
    kill -KILL "$(pid_of 1 1)"
    sleep 0.2
  done
  stop_all
}

# Queries a host, so that the platform counts only the calls of the fleet.
is_closed () { # fleet
  curl -fsS "http://$net.$1.2:18081/v1/dump" \
    | jq -e '[.fleet.members[] | select(.state == 2)] | length >= 1'
}

# Measures the platform calls for the crash and the start of one host of four,
# by the number of ledger pages, with concurrent fleets of one number each.
measure_pages () {
  local sizes=(8 32 128 512) fleet pages i begin
  local -A reads writes
  for fleet in 1 2 3 4; do
    start_platform "$fleet" 2000 2000
    start_fleet "$fleet" 4 ", \"ledger_pages\": ${sizes[fleet - 1]}"
  done
  sleep 3
  for fleet in 1 2 3 4; do
    "$bin/bench_capacity_load" run 40 12 2000 "$net.$fleet.1:18080" \
      "$net.$fleet.2:18080" >"$work/run-$fleet" &
    i[fleet]=$!
  done
  for fleet in 1 2 3 4; do wait "${i[fleet]}"; done
  sleep 65 # the 60 s demand window is empty and idle grants are returned
  for fleet in 1 2 3 4; do
    reads[$fleet]=$(api_stat "$fleet" reads); writes[$fleet]=$(api_stat "$fleet" writes)
    kill -KILL "$(pid_of "$fleet" 1)"
  done
  begin=$SECONDS
  for fleet in 1 2 3 4; do
    wait_for 120 "closed host" is_closed "$fleet"
    pages=${sizes[fleet - 1]}
    echo "pages: fleet of $pages pages closed the dead host after $((SECONDS - begin)) s"
    record recovery_reads "$pages" $(($(api_stat "$fleet" reads) - ${reads[$fleet]}))
    record recovery_writes "$pages" $(($(api_stat "$fleet" writes) - ${writes[$fleet]}))
  done
  for fleet in 1 2 3 4; do
    reads[$fleet]=$(api_stat "$fleet" reads); writes[$fleet]=$(api_stat "$fleet" writes)
    start_host "$fleet" 5 ", \"ledger_pages\": ${sizes[fleet - 1]}"
  done
  for fleet in 1 2 3 4; do wait_ready "$fleet" 5; done
  sleep 5
  for fleet in 1 2 3 4; do
    pages=${sizes[fleet - 1]}
    record start_reads "$pages" $(($(api_stat "$fleet" reads) - ${reads[$fleet]}))
    record start_writes "$pages" $(($(api_stat "$fleet" writes) - ${writes[$fleet]}))
  done
  stop_all
}

# Fits a line to the points of one quantity; prints it and writes the plot.
fit () { # quantity
  local file=$out/$1.csv line
  line=$(awk -F, 'NR > 1 {
      n++; x[n] = $1; y[n] = $2
      sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
    END {
      d = n * sxx - sx * sx
      if (d == 0) exit
      a = (n * sxy - sx * sy) / d; b = (sy - a * sx) / n
      for (i = 1; i <= n; i++) {
        e = y[i] - a * x[i] - b; rss += e * e
        if (e < 0) e = -e
        if (e > worst) worst = e
      }
      printf "%.6g %.6g %.3g %.3g %d", a, b, sqrt (rss / n), worst, n
    }' "$file")
  # shellcheck disable=SC2086
  set -- "$1" $line
  [ $# -eq 6 ] || return 0
  printf 'fit %-32s slope %-12s intercept %-12s rms residual %-9s largest %-9s points %s\n' "$@"
  gnuplot -e "set terminal svg size 480,300; set output '$out/$1.svg';
    set datafile separator ','; set key top left; set xlabel 'size';
    set title '$1' noenhanced;
    plot '$file' skip 1 using 1:2 with points pt 7 notitle,
    $2 * x + ($3) title sprintf('%.4g x + %.4g', $2, $3)" 2>/dev/null
}

for part in "${parts[@]}"; do
  echo "== $part, $(date -u +%H:%M:%S)"
  case "$part" in
    core) "$bin/bench_capacity_core" >>"$results" ;;
    idle) measure_idle ;;
    load) measure_load ;;
    config) measure_config ;;
    pages) measure_pages ;;
    *) echo "unknown part: $part" >&2; exit 2 ;;
  esac
done

echo "== fits, $(date -u +%H:%M:%S)"
cut -d, -f1 "$results" | sort -u >"$work/quantities"
while IFS= read -r quantity; do
  { echo "size,value"
    awk -F, -v q="$quantity" '$1 == q { print $2 "," $3 }' "$results"
  } >"$out/$quantity.csv"
  fit "$quantity"
done <"$work/quantities"
