#!/usr/bin/env bash
# Runs the test programs of a preset's build directory and sums their counts:
# scripts/run-checks.sh PRESET [NAME-PATTERN]
# The last line is "N passed, N failed". Failures listed in KNOWN-RED.txt are
# printed, but do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
preset=$1
pattern=${2:-.}
mkdir -p out
passed=0
failed=0

# An entry of KNOWN-RED.txt is a line that starts with "test_program:case_name".
is_known_red () {
  [ -f KNOWN-RED.txt ] && grep -q "^$1:$2\b" KNOWN-RED.txt
}

# Runs one program; its log and exit status go to out/.
run_program () {
  local name
  name=$(basename "$1")
  # Time limits of test cases only end hangs; in parallel runs and under a
  # sanitizer a correct case takes several times as long as alone.
  CK_VERBOSITY=normal CK_TIMEOUT_MULTIPLIER=6 timeout 900 "$1" >"out/$2-$name.log" 2>&1
  echo $? >"out/$2-$name.status"
}
export -f run_program

programs=()
for program in build/"$preset"/test_*; do
  [ -x "$program" ] && [ -f "$program" ] || continue
  [[ $(basename "$program") =~ $pattern ]] && programs+=("$program")
done
# The slowest programs start first, so that none runs alone at the end. They run
# in parallel, because each uses its own loopback addresses and ports.
slow='test_(server_faults|core_faults|core_explore|server|core_budget|recovery|backup|threads|peer_link)$'
ordered=()
for program in "${programs[@]}"; do [[ $program =~ $slow ]] && ordered+=("$program"); done
for program in "${programs[@]}"; do [[ $program =~ $slow ]] || ordered+=("$program"); done
[ "${#ordered[@]}" -gt 0 ] && printf '%s\0' "${ordered[@]}" \
  | xargs -0 -P "${DS_JOBS:-$(nproc)}" -I{} bash -c 'run_program "$1" "$2"' _ {} "$preset"

for program in "${programs[@]}"; do
  name=$(basename "$program")
  log="out/$preset-$name.log"
  status=$(cat "out/$preset-$name.status")
  summary=$(grep -E '^[0-9]+%: Checks: ' "$log" | tail -1)
  if [ -z "$summary" ]; then
    echo "$name: no result, exit status $status"
    tail -5 "$log"
    failed=$((failed + 1))
    continue
  fi
  checks=$(sed -E 's/.*Checks: ([0-9]+).*/\1/' <<<"$summary")
  bad=$(sed -E 's/.*Failures: ([0-9]+), Errors: ([0-9]+).*/\1 + \2/' <<<"$summary")
  bad=$((bad))
  known=0
  while IFS= read -r line; do
    test_case=$(cut -d: -f5 <<<"$line")
    if is_known_red "$name" "$test_case"; then
      known=$((known + 1))
      echo "known red: $line"
    else
      echo "$line"
    fi
  done < <(grep -E ':[FE]:' "$log")
  unexpected=$((bad - known))
  if [ "$status" -ne 0 ] && [ "$bad" -eq 0 ]; then
    echo "$name: all checks passed, but exit status $status"
    tail -20 "$log"
    unexpected=1
  fi
  passed=$((passed + checks - bad))
  failed=$((failed + unexpected))
  echo "$name: $summary"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
