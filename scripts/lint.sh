#!/usr/bin/env bash
# Checks formatting and lints the whole tree; "scripts/lint.sh fix" formats it.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  'src/*.[ch]' 'include/*.h' 'platform/*.[ch]' 'tests/*.[ch]' 'bench/*.[ch]' 'bench/support/*.[ch]' | grep -v '\.pb-c\.')
if [ "${1:-}" = fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
passed=0
failed=0
report () {
  if [ "$2" -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
  echo "$1: $([ "$2" -eq 0 ] && echo clean || echo FAILED)"
}

clang-format --dry-run -Werror "${files[@]}" 2>&1 | grep -E 'error' | head -20
report clang-format "${PIPESTATUS[0]}"

[ -f build/release/compile_commands.json ] || scripts/build.sh release
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.c$')
mkdir -p out
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 \
  clang-tidy -p build/release --quiet >out/clang-tidy.log 2>out/clang-tidy.err
status=$?
grep -E '(error|warning):' out/clang-tidy.log | sort -u | head -30
report clang-tidy "$status"

cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j "$(nproc)" \
  --enable=warning,performance,portability \
  --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
  --library=gtk -Iinclude -Isrc "${sources[@]}" 2>&1 | head -30
report cppcheck "${PIPESTATUS[0]}"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
