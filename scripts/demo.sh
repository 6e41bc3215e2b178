#!/usr/bin/env bash
# Builds daisystep, starts stand-ins for the platform, a model engine and a
# plain service and three entry hosts on loopback, sends requests of two
# workspaces, prints and checks responses, bills and budgets, and stops all
# started processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh release

bin=$PWD/build/release
work=$(mktemp -d)
pids=()
passed=0
failed=0

stop_all () {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

check () {
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1)); echo "ok      $1: $2"
  else
    failed=$((failed + 1)); echo "FAILED  $1: got '$2', expected '$3'"
  fi
}

wait_for () { # what, command...
  local what=$1; shift
  for _ in $(seq 200); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done
  echo "timed out after 10 s waiting for $what" >&2
  tail -3 "$work"/*.log >&2
  exit 1
}

start_standin () { # name, ip
  "$bin/standin_$1" --address "$2:0" --ready-file "$work/$1.address" \
    --stop-after-ms 240000 >"$work/$1.log" 2>&1 &
  pids+=($!)
  wait_for "stand-in $1" test -s "$work/$1.address"
}

echo "== start"
start_standin object_api 127.0.0.9
start_standin engine 127.0.0.10
start_standin service 127.0.0.11
platform=http://$(cat "$work/object_api.address")

# Keys are generated here; the resources contain only their SHA-256.
key_north=$(head -c 24 /dev/urandom | base64)
key_south=$(head -c 24 /dev/urandom | base64)
sha () { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
jq --arg engine "$(cat "$work/engine.address")" \
  --arg service "$(cat "$work/service.address")" \
  --arg north "$(sha "$key_north")" --arg south "$(sha "$key_south")" '
  map(if .name == "engine-1" then .spec.address = $engine
      elif .name == "service-1" then .spec.address = $service
      elif .name == "north" then .spec.key_sha256 = [$north]
      elif .name == "south" then .spec.key_sha256 = [$south]
      else . end)' examples/demo/resources.json >"$work/resources.json"
"$bin/daisystep" check --resources "$work/resources.json"
"$bin/daisystep" resources apply --platform "$platform" "$work/resources.json"

host_pids=()
for i in 1 2 3; do
  cat >"$work/host-$i.json" <<JSON
{"host": "host-$i", "zone": "zone-$i", "caller_address": "127.0.1.$i:18080",
 "operator_address": "127.0.1.$i:18081", "peer_address": "127.0.1.$i:18082",
 "platform": {"url": "$platform"}, "flush_ms": 200, "idle_ms": 1000,
 "heartbeat_ms": 200, "suspect_ms": 1000, "address_valid_ms": 500,
 "drain_min_ms": 500}
JSON
  "$bin/daisystep" serve --config "$work/host-$i.json" 2>"$work/host-$i.log" &
  pids+=($!); host_pids+=($!)
done
for i in 1 2 3; do
  wait_for "host $i ready" curl -fsS "http://127.0.1.$i:18081/healthz"
done

echo "== request an address and send requests"
address_json=$(curl -fsS -H "Authorization: Bearer $key_north" \
  http://127.0.1.2:18080/v1/address)
echo "$address_json" | jq -c .
session=$(jq -r .session <<<"$address_json")
home=$(jq -r .session_address <<<"$address_json")

stream=$(curl -sS -N -H "Authorization: Bearer $key_north" \
  -H "Daisystep-Request-Id: $session.1" \
  -d '{"model":"assistant","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"How long should a horse rest?"}]}' \
  "http://$home/v1/chat/completions")
echo "$stream" | grep '^data' | tail -3
text=$(grep '^data: {' <<<"$stream" | sed 's/^data: //' \
  | jq -rj '.choices[0].delta.content // empty')
check "complete streamed response" "$text" "tok0 tok1 tok2 tok3 tok4"
check "end markers of the stream" "$(grep -c '^data: \[DONE\]' <<<"$stream")" 1

again=$(curl -sS -H "Authorization: Bearer $key_north" \
  -H "Daisystep-Request-Id: $session.1" \
  -d '{"model":"assistant","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"How long should a horse rest?"}]}' \
  "http://$home/v1/chat/completions")
echo "$again"
check "repeated request is reported as run" "$(jq -r .ran <<<"$again")" yes

booking=$(curl -sS -H "Authorization: Bearer $key_north" \
  -H "Daisystep-Request-Id: $session.2" -H "Daisystep-Repeat: never" \
  -d '{"shift":"dawn"}' "http://$home/v1/services/booking")
check "response of the plain service" "$booking" '{"booked":1}'

echo "== a request that exceeds its budget"
refused=$(curl -sS -H "Authorization: Bearer $key_south" \
  -d "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"$(head -c 4000 /dev/zero | tr '\0' x)\"}]}" \
  http://127.0.1.3:18080/v1/chat/completions)
echo "$refused"
check "request over the budget is refused" "$(jq -r .title <<<"$refused")" budget-exhausted
check "refused request is reported as not run" "$(jq -r .ran <<<"$refused")" no
small=$(curl -sS -H "Authorization: Bearer $key_south" \
  -d '{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"Quote?"}]}' \
  http://127.0.1.3:18080/v1/chat/completions)
check "smaller request runs" "$(jq -r '.choices[0].message.content' <<<"$small")" "tok0 tok1 tok2 tok3"
wrong=$(curl -sS -o /dev/null -w '%{http_code}' -H "Authorization: Bearer nobody" \
  -d '{}' http://127.0.1.1:18080/v1/chat/completions)
check "status for an unknown key" "$wrong" 401

echo "== graceful shutdown"
for pid in "${host_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${host_pids[@]}"; do
  status=0; wait "$pid" || status=$?
  check "exit status of a host" "$status" 0
done

echo "== bills and budgets"
"$bin/daisystep" resources get --platform "$platform" bills
"$bin/daisystep" resources get --platform "$platform" budgets
bills=$("$bin/daisystep" resources get --platform "$platform" --json bills)
count () { jq -s --arg w "$1" --arg o "$2" 'flatten | map(select(.workspace == $w and .offering == $o)) | length' <<<"$bills"; }
check "bills of north for the assistant" "$(count north assistant)" 1
check "bills of north for the booking" "$(count north booking)" 1
check "bills of south" "$(count south assistant)" 1
budgets=$("$bin/daisystep" resources get --platform "$platform" --json budgets)
spent () { jq -s --arg b "$1" 'flatten | map(select(.budget == $b or .name == $b)) | .[0].settled' <<<"$budgets"; }
billed () { jq -s --arg w "$1" 'flatten | map(select(.workspace == $w) | .tokens) | add' <<<"$bills"; }
check "settled tokens of budget-north match its bills" "$(spent budget-north)" "$(billed north)"
check "settled tokens of budget-south match its bills" "$(spent budget-south)" "$(billed south)"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
