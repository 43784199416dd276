#!/usr/bin/env bash
# Tests a control group of three real processes that are killed, frozen and wiped while operators
# change the schema. Waits for conditions, not for fixed times; each wait is bounded.
# Usage: tools/control_faults.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${1:-build}/bin
schema=$PWD/examples/macchie/schema.proto
net=127.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
work=$(mktemp -d)
declare -A pid
cleanup() {
  for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -KILL "$p" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
cd "$work"
umask 077
head -c 32 /dev/urandom | base64 > peer.key
head -c 24 /dev/urandom | base64 > operator.token

fail() { echo "control faults: FAILED: $*"; tail -n 5 ./*.log; exit 1; }
say() { echo "control faults: $*"; }

# Calls a command until it succeeds, at most 100 times: until_true CONDITION_TEXT COMMAND...
until_true() {
  local what=$1 tries=0
  shift
  until "$@"; do
    tries=$((tries + 1))
    [ $tries -lt 100 ] || fail "timed out waiting for $what"
    sleep 0.1
  done
}

members=$(printf '"%s.1:17082","%s.2:17082","%s.3:17082"' "$net" "$net" "$net")
for i in 1 2 3; do
  cat > "c$i.toml" <<T
availability_zone = "a"
data_folder = "$work/data$i"
[listen]
operators = "$net.$i:17081"
peers = "$net.$i:17082"
metrics = "$net.$i:17083"
[keys]
operator_token_file = "$work/operator.token"
peer_key_file = "$work/peer.key"
[group]
may_form = true
members = [$members]
[membership]
seeds = [$members]
[shutdown]
linger_ms = 0
T
done

start() { "$bin/chicory-controld" --config "c$1.toml" > "c$1.out" 2>> "c$1.log" & pid[$1]=$!; }
crash() { kill -KILL "${pid[$1]}"; wait "${pid[$1]}" 2>/dev/null || true; }
wipe() { crash "$1"; rm -rf "data$1"; start "$1"; }
ctl_at() { local i=$1; shift; "$bin/chicoryctl" --control "$net.$i:17081" --token-file operator.token "$@"; }
ctl() {
  "$bin/chicoryctl" --control "$net.1:17081" --control "$net.2:17081" --control "$net.3:17081" \
    --token-file operator.token "$@"
}
# Applies the schema with an operation id: try_apply OPERATION_ID EXPECTED_VERSION. Stores the
# output in `answer`. `apply` repeats this until it succeeds and checks the accepted version.
answer=
try_apply() { answer=$(ctl --operation-id "$1" --expected-version "$2" schema apply "$schema" 2>&1); }
apply() {
  until_true "change $1" try_apply "$@"
  [ "$answer" = "accepted as version $3" ] || fail "change $1: $answer instead of version $3"
}
status_line() { ctl status 2>/dev/null | head -n 1; }
leader() { status_line | sed -E "s/.*leader $net\.([0-9]):.*/\1/"; }
has_leader() { [[ $(leader) =~ ^[123]$ ]]; }
# Whether the leader reports version $2 for process $1.
at_version() { ctl status 2>/dev/null | grep -qE "$net\.$1:17082 .*version $2\$"; }
all_at() { for i in 1 2 3; do at_version "$i" "$1" || return 1; done; }
metric() {
  exec 3<> "/dev/tcp/$net.$1/17083" || return 1
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  sed -nE "s/^.*$2[^0-9]*([0-9]+).*$/\1/p" <&3
  exec 3>&-
}
member_changes() {
  local sum=0 i
  for i in 1 2 3; do sum=$((sum + $(metric "$i" membership_changes 2>/dev/null || echo 0))); done
  echo $sum
}
changes_reach() { [ "$(member_changes)" -ge "$1" ]; }

for i in 1 2 3; do start $i; done
apply first 0 1
say "three processes form a group and accept a change"

ctl_at 1 --operation-id left --expected-version 1 schema apply "$schema" > left 2>&1 & one=$!
ctl_at 2 --operation-id right --expected-version 1 schema apply "$schema" > right 2>&1 & two=$!
wait $one || true
wait $two || true
won=0
for id in left right; do
  if ! try_apply "$id" 1; then continue; fi
  [ "$answer" = "accepted as version 2" ] && won=$((won + 1))
done
[ $won = 1 ] || fail "$won of two operators with conflicting changes succeeded"
say "one of two operators with conflicting changes succeeds"

version=2
for round in 1 2 3; do
  until_true "a leader" has_leader
  l=$(leader)
  crash "$l"
  apply "round$round" $version $((version + 1))
  version=$((version + 1))
  apply first 0 1
  start "$l"
  until_true "version $version everywhere" all_at $version
done
say "three leaders were killed: each change took effect once, a resent change got its first answer"

until_true "a leader" has_leader
l=$(leader)
victim=$((l % 3 + 1))
other=$((victim % 3 + 1))
before=$(member_changes)
wipe $victim
until_true "the repair of the group" changes_reach $((before + 3))
crash $other
apply repaired $version $((version + 1))
version=$((version + 1))
say "a wiped VM is a voter again: a change is accepted with another VM lost"
start $other
until_true "version $version everywhere" all_at $version

until_true "a leader" has_leader
l=$(leader)
kill -STOP "${pid[$l]}"
next=$((l % 3 + 1))
try_frozen() { answer=$(ctl_at $next --operation-id frozen --expected-version $version schema apply "$schema" 2>&1) ||
  answer=$(ctl_at $((next % 3 + 1)) --operation-id frozen --expected-version $version schema apply "$schema" 2>&1); }
until_true "a change without the frozen leader" try_frozen
version=$((version + 1))
[ "$answer" = "accepted as version $version" ] || fail "change frozen: $answer instead of version $version"
term() { ctl status 2>/dev/null | sed -nE 's/.*term ([0-9]+),.*/\1/p'; }
before=$(term)
kill -CONT "${pid[$l]}"
until_true "version $version at the resumed leader" at_version "$l" $version
apply thawed $version $((version + 1))
version=$((version + 1))
[ "$(term)" = "$before" ] || fail "the term changed from $before to $(term)"
say "a frozen leader is replaced and does not change the term when it resumes"

for i in 1 2 3; do kill -TERM "${pid[$i]}"; wait "${pid[$i]}" || fail "process $i exited with $?"; done
for i in 1 2 3; do start $i; done
until_true "version $version after the restart" all_at $version
apply first 0 1
say "all processes restarted at version $version"
