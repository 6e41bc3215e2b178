#!/usr/bin/env bash
# Runs the test programs of a preset's build directory and sums their counts:
# scripts/run-checks.sh PRESET [NAME-PATTERN]
# Prints program, file, line and message of each check that failed, and the last
# checks of a program that did not come to its end.  The last line is "N passed,
# N failed".  Failures listed in KNOWN-RED.txt are printed, but do not fail the
# run.  DS_JOBS limits the programs that run at a time, DS_PROGRAM_LIMIT_S the
# time of each (900).
set -uo pipefail
cd "$(dirname "$0")/.."
preset=$1
pattern=${2:-.}
mkdir -p out
passed=0
failed=0

# Results as Check writes them: "FILE:LINE:TYPE:GROUP:CASE:ITERATION: MESSAGE".
# The type is P (passed), F (failed), E (ended by a signal, an exit or its time
# limit), or S: a fixture failed, before or after the case.
failure_line='^[^:]*:[0-9]+:[FES]:[^:]*:[^:]*:[0-9]+: '
result_line='^[^:]*:[0-9]+:[PFES]:[^:]*:[^:]*:[0-9]+: '

# An entry of KNOWN-RED.txt is a line that starts with "test_program:case_name".
# It does not cover failures of fixtures.
is_known_red () {
  [ -f KNOWN-RED.txt ] && [ "$3" != S ] && grep -q "^$1:$2\b" KNOWN-RED.txt
}

# Runs one program; its log and exit status go to out/.  The results of its
# checks go to a file of their own as well, since Check prints the failures at
# the end alone, which a program that is killed does not reach.
run_program () {
  local name
  name=$(basename "$1")
  : >"out/$2-$name.results"
  # Time limits of test cases only end hangs; in parallel runs and under a
  # sanitizer a correct case takes several times as long as alone.
  CK_VERBOSITY=normal CK_TIMEOUT_MULTIPLIER=6 \
    CK_LOG_FILE_NAME="out/$2-$name.results" \
    timeout "${DS_PROGRAM_LIMIT_S:-900}" "$1" >"out/$2-$name.log" 2>&1
  echo $? >"out/$2-$name.status"
}
export -f run_program

# Names an exit status of timeout.
describe_status () {
  if [ "$1" -eq 124 ]; then
    echo "time limit"
  elif [ "$1" -gt 128 ]; then
    echo "signal $(kill -l "$1" 2>/dev/null || echo $(($1 - 128)))"
  else
    echo "exit status $1"
  fi
}

# Prints the failures among the results in $2 of program $1, with further lines
# of their messages, and sets "shown" and "known" to their numbers.  Messages
# may hold any bytes of a response, hence the text mode of grep.
print_failures () {
  local line fields
  shown=0
  known=0
  while IFS= read -r line; do
    if [[ ! $line =~ $failure_line ]]; then
      echo "  $line"
      continue
    fi
    IFS=: read -r -a fields <<<"$line"
    shown=$((shown + 1))
    if is_known_red "$1" "${fields[4]}" "${fields[2]}"; then
      known=$((known + 1))
      echo "known red: $1: $line"
    else
      echo "$1: $line"
    fi
  done < <(LC_ALL=C awk -v failure="$failure_line" -v result="$result_line" '
    $0 ~ result { within = $0 ~ failure; lines = 0 }
    /^Results for all suites run:/ { within = 0 }
    within && lines++ < 10' "$2" 2>/dev/null | tr -d '\000')
}

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
  results="out/$preset-$name.results"
  status=$(cat "out/$preset-$name.status")
  summary=$(LC_ALL=C grep -aE '^[0-9]+%: Checks: ' "$log" | tail -1)
  print_failures "$name" "$results"
  if [ -z "$summary" ]; then
    echo "$name: no result, $(describe_status "$status") after" \
      "$(LC_ALL=C grep -acE "$result_line" "$results" 2>/dev/null) checks; the last ones:"
    LC_ALL=C grep -aE "$result_line" "$results" 2>/dev/null | tail -2
    echo "$name: end of its output:"
    tail -5 "$log"
    failed=$((failed + 1 + shown - known))
    continue
  fi
  checks=$(sed -E 's/.*Checks: ([0-9]+).*/\1/' <<<"$summary")
  bad=$(sed -E 's/.*Failures: ([0-9]+), Errors: ([0-9]+).*/\1 + \2/' <<<"$summary")
  bad=$((bad))
  if [ "$shown" -ne "$bad" ]; then
    echo "$name: $shown of $bad failures found in $results; end of $log:"
    tail -20 "$log"
  fi
  unexpected=$((bad - known))
  if [ "$status" -ne 0 ] && [ "$bad" -eq 0 ]; then
    echo "$name: all checks passed, but $(describe_status "$status")"
    tail -20 "$log"
    unexpected=1
  fi
  passed=$((passed + checks - bad))
  failed=$((failed + unexpected))
  echo "$name: $summary"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
