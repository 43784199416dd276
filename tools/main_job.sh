#!/usr/bin/env bash
# Smoke test on an example deployment: starts a control process, two entries and emulated upstreams,
# applies a schema and a placement with chicoryctl, checks that each entry answers a query
# completely, and stops all processes.
# Usage: tools/main_job.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
bin=$root/${1:-build}/bin
source "$root/tools/processes.sh"

ctl() { "$bin/chicoryctl" --control "$(address control operators)" --token-file operator.token "$@"; }

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

for entry in entry1 entry2; do
  cat > $entry.toml <<T
availability_zone = "a"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[keys]
peer_key_file = "$work/peer.key"
[control]
addresses = ["$(address control peers)"]
[upstreams]
entry_seats = 3
[shutdown]
linger_ms = 0
T
  start $entry chicory-entryd
done

cat > upstreams.toml <<T
schema = "$root/examples/macchie/schema.proto"
[[service]]
name = "macchie.EyepieceDesk"
replicas_per_shard = 2
slots = 2
connections = 50
availability_zones = ["a", "b", "c", "d"]
T
start upstreams chicory-standin

ctl schema apply "$root/examples/macchie/schema.proto"
ctl placement set macchie.EyepieceDesk macchie.EyepieceDesk.placement.json
ctl status

for entry in entry1 entry2; do
  until curl -sf "http://$(address $entry callers)/ready" > /dev/null &&
    curl -s "http://$(address $entry metrics)/metrics" | grep -q 'entry_config_version 2$'; do
    kill -0 "${pids[1]}"
    sleep 0.05
  done
  curl -s -D headers.txt -o answer.json "http://$(address $entry callers)/macchie.EyepieceDesk/Compare" \
    -H 'Content-Type: application/json' -H 'X-Chicoryvale-Workspace: observers' \
    -H 'X-Chicoryvale-Deadline-Ms: 2000' -d '{"sketch_id":"tonight"}'
  grep -i '^x-chicoryvale' headers.txt
  records=$(grep -o '"sketch_id"' answer.json | wc -l)
  echo "$entry: $records sketches"
  grep -qi '^x-chicoryvale-coverage: 20/20' headers.txt
  [ "$records" = 60 ]
done

for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
echo "main job: done"
