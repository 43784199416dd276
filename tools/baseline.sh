#!/usr/bin/env bash
# Measures EyepieceDesk and FormulaDesk at their required sizes with chicory-load: a control
# process, several entries, emulated upstreams with 1% of stragglers that take 20 times the median
# latency, and open-loop arrivals.
# Usage: tools/baseline.sh [BUILD_DIR] [--json]
# Environment: ENTRIES (4), RATE (40 queries a second for each of the two services), DURATION_MS
# (20000), SEED (1), STRAGGLER_SHARE (0.01)
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
bin=$root/${1:-build}/bin
shift || true
entries=${ENTRIES:-4}
source "$root/tools/processes.sh"
ctl() { "$bin/chicoryctl" --control "$(address control operators)" --token-file operator.token "$@" > ctl.out || { cat ctl.out >&2; exit 1; }; }

cat > control.toml <<T
availability_zone = "a"
data_folder = "$work/control"
[listen]
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[keys]
operator_token_file = "$work/operator.token"
peer_key_file = "$work/peer.key"
[group]
may_form = true
[shutdown]
linger_ms = 0
T
start control chicory-controld
zones=(a b c d)
for ((i = 0; i < entries; ++i)); do
  cat > "entry$i.toml" <<T
availability_zone = "${zones[$((i % 4))]}"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[keys]
peer_key_file = "$work/peer.key"
[control]
addresses = ["$(address control peers)"]
[upstreams]
entry_seats = $((entries + 1))
[shutdown]
linger_ms = 0
T
  start "entry$i" chicory-entryd
done

# A control group has one schema, so one file contains the services of both deployments.
cat > schema.proto <<'T'
syntax = "proto3";
package baseline;
import "chicoryvale/options.proto";
message Record { string record_id = 1; string text = 2; }
message Query { string text = 1; }
message Answer { repeated Record records = 1; }
service EyepieceDesk {
  option (chicoryvale.v1.service) = {
    shards: 20 objective: COVERAGE workspaces: { name: "observers" share: 1 } };
  rpc Compare(Query) returns (Answer) {
    option (chicoryvale.v1.method) = { idempotent: true default_deadline_ms: 1000
      min_coverage_per_10000: 5000 records: "records" record_key: "record_id" }; } }
service FormulaDesk {
  option (chicoryvale.v1.service) = {
    shards: 20 objective: TAIL_LATENCY workspaces: { name: "makers" share: 1 } };
  rpc Check(Query) returns (Answer) {
    option (chicoryvale.v1.method) = { idempotent: true default_deadline_ms: 400
      min_coverage_per_10000: 9000 records: "records" record_key: "record_id" }; } }
T
printf 'schema = "%s/schema.proto"\n' "$work" > upstreams.toml
for service in "EyepieceDesk 50 [\"a\",\"b\",\"c\",\"d\"]" "FormulaDesk 60 [\"a\",\"b\",\"c\"]"; do
  read -r name connections service_zones <<< "$service"
  cat >> upstreams.toml <<T
[[service]]
name = "baseline.$name"
replicas_per_shard = 2
slots = 2
connections = $connections
median_ms = 3
sigma = 0.2
straggler_share = ${STRAGGLER_SHARE:-0.01}
straggler_factor = 20
availability_zones = $service_zones
T
done
start upstreams chicory-standin
ctl schema apply schema.proto
for name in EyepieceDesk FormulaDesk; do
  ctl placement set "baseline.$name" "baseline.$name.placement.json"
done

callers=
metrics=
for ((i = 0; i < entries; ++i)); do
  until curl -s "http://$(address "entry$i" metrics)/metrics" | grep -q 'entry_config_version 3$'; do
    kill -0 "${pids[1]}"
    sleep 0.05
  done
  callers+="\"$(address "entry$i" callers)\","
  metrics+="\"$(address "entry$i" metrics)\","
done
cat > plan.toml <<T
seed = ${SEED:-1}
duration_ms = ${DURATION_MS:-20000}
entries = [${callers%,}]
metrics = [${metrics%,}]
standins = ["$(address upstreams control)"]
[[call]]
path = "/baseline.EyepieceDesk/Compare"
workspace = "observers"
rate = ${RATE:-40}
deadline_ms = 1000
[[call]]
path = "/baseline.FormulaDesk/Check"
workspace = "makers"
rate = ${RATE:-40}
deadline_ms = 400
T
"$bin/chicory-load" --config plan.toml "$@"
for pid in "${pids[@]}"; do
  awk -v ticks="$(getconf CLK_TCK)" '{print $2, "processor seconds", ($14 + $15) / ticks}' "/proc/$pid/stat" >&2
done
