#!/usr/bin/env bash
# Runs the program of one case: run_case.sh CASE_FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
self=$(cd "$1" && pwd)
root=$(cd "$self/../.." && pwd)
program=$root/target/review/case$(basename "$self")
for file in "$program" "$root/target/bin/chicory-gatewayd" "$root/target/bin/chicory-controld"; do
  if [ ! -x "$file" ]; then
    echo "not built: ${file#"$root"/}" >&2
    exit 2
  fi
done
work=$(mktemp -d) || exit 2
child=
# The processes that the program started end with it.
finish() {
  [ -n "$child" ] && kill -KILL "$child" 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 115 "$program" "$root" "$self" "$work" &
child=$!
wait "$child"
code=$?
child=
[ -n "${KEEP_LOGS:-}" ] && echo "logs: $work"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
