#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt run
# separately; their results are printed but do not affect the exit status. Any
# other failure fails the run. Each line of the list has the form
#   PACKAGE TEST, cause, issue
# where PACKAGE is a folder and TEST the name of a Go test or, for a ginkgo spec,
# "spec:" and its full text. The list has at most three lines.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
list=KNOWN-RED.txt
max=3
run=("$GO" test -race -count=1)

lines=()
[ ! -f "$list" ] || mapfile -t lines < <(grep -v '^[[:space:]]*$' "$list" || true)
if [ ${#lines[@]} -eq 0 ]; then exec "${run[@]}" ./...; fi
if [ ${#lines[@]} -gt $max ]; then echo "$list has ${#lines[@]} lines; the maximum is $max" >&2; exit 1; fi

quote() { sed 's/[][\.*^$+?(){}|/]/\\&/g' <<<"$1"; }
declare -A skip_test=() skip_spec=()
packages=()
for line in "${lines[@]}"; do
  [[ $line =~ ^([^ ,]+)\ ([^,]+),\ *[^,]+,.*[0-9] ]] || { echo "$list: line \"$line\" does not have the form PACKAGE TEST, cause, issue" >&2; exit 1; }
  package=./${BASH_REMATCH[1]#./} test=${BASH_REMATCH[2]}
  "$GO" list "$package" >/dev/null
  packages+=("$package")
  case $test in
    spec:*) skip_spec[$package]+="${skip_spec[$package]:+|}$(quote "${test#spec:}")" ;;
    *) skip_test[$package]+="${skip_test[$package]:+|}$(quote "$test")" ;;
  esac
done

verdict=0
mapfile -t others < <(comm -23 <("$GO" list ./... | sort -u) <("$GO" list "${packages[@]}" | sort -u))
"${run[@]}" "${others[@]}" || verdict=1
mapfile -t packages < <(printf '%s\n' "${packages[@]}" | sort -u)
for package in "${packages[@]}"; do
  args=()
  [ -z "${skip_test[$package]-}" ] || args+=(-skip "^(${skip_test[$package]})\$")
  tail=()
  [ -z "${skip_spec[$package]-}" ] || tail=(-ginkgo.skip="(^| )(${skip_spec[$package]})\$")
  "${run[@]}" "${args[@]}" "$package" "${tail[@]}" || verdict=1
done
echo "known failures, not counted:"
for line in "${lines[@]}"; do
  [[ $line =~ ^([^ ,]+)\ ([^,]+), ]]
  package=./${BASH_REMATCH[1]#./} test=${BASH_REMATCH[2]}
  args=(-run "^$(quote "$test")\$") tail=()
  case $test in spec:*) args=() tail=(-ginkgo.focus="(^| )$(quote "${test#spec:}")\$") ;; esac
  if "${run[@]}" "${args[@]}" "$package" "${tail[@]}" >/dev/null 2>&1; then state="passes; remove the line"; else state="fails"; fi
  echo "  $line [$state]"
done
exit $verdict
