# Sourced by scripts that run daemons. Creates the temporary folder `work` with keys and makes it the
# current folder. On exit, stops all daemons that `start` has started and removes the folder. The
# sourcing script sets `bin`, the folder of the programs, beforehand.
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
cd "$work"
umask 077
head -c 32 /dev/urandom | base64 > peer.key
head -c 24 /dev/urandom | base64 > operator.token

# Starts a daemon and waits for its ready line: start NAME PROGRAM
start() {
  mkfifo "$1.ready"
  "$bin/$2" --config "$work/$1.toml" > "$1.ready" 2> "$1.log" &
  pids+=($!)
  exec {ready}< "$1.ready"
  IFS= read -r line <&"$ready" || { echo "$1 did not start:" >&2; cat "$1.log" >&2; exit 1; }
  echo "$line" > "$1.json"
}

# Prints the address under KEY in a daemon's ready line: address NAME KEY
address() { sed -E "s/.*\"$2\":\"([^\"]*)\".*/\1/" "$1.json"; }
