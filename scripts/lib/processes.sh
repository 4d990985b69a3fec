# Starts, watches and stops the processes of a demo run. Source this file; set $work and $bin first.

declare -A pids=()

# start NAME BINARY: runs $bin/BINARY with $work/NAME.ini in the background.
start() {
  local name=$1 binary=$2
  "$bin/$binary" --config "$work/$name.ini" >"$work/$name.log" 2>"$work/$name.err" </dev/null &
  pids[$name]=$!
  disown "${pids[$name]}"
}

# await SECONDS COMMAND...: repeats the command until it succeeds; fails at the deadline.
await() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "demo: timeout waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

has_listening() { grep -q '"event":"listening"' "$work/$1.log"; }

# bound NAME FIELD: prints a bound address from the process's "listening" log line.
bound() {
  await 10 has_listening "$1" || { cat "$work/$1.log" >&2; return 1; }
  grep -m 1 '"event":"listening"' "$work/$1.log" | jq -r ".$2"
}

running() { kill -0 "${pids[$1]}" 2>/dev/null; }
stopped() { ! running "$1"; }

# stop_all: ends every process started here, by process ID.
stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
}
