# Functions that start a small mesh of both customers on loopback; sourced by demo.sh and faults.sh, which set RATE,
# CALLS and READY_SECONDS. Everything that was started is ended, by its process id, when the script exits.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

work=$(mktemp -d)
pids=()
declare -A pid_of

# stop ends only the processes that this script started, by their ids.
stop() {
  local pid deadline=$((SECONDS + 5))
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop
  if ((code != 0)) && [[ -z ${KEEP_LOGS:-} ]]; then
    echo "failed; last lines of the logs follow (KEEP_LOGS=DIR keeps them)" >&2
    tail -n 3 "$work"/*.log >&2 || true
  fi
  if [[ -n ${KEEP_LOGS:-} ]]; then mkdir -p "$KEEP_LOGS" && cp "$work"/* "$KEEP_LOGS"/; fi
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "check failed: $*" >&2
  exit 1
}

# The ports lie below the range from which the kernel takes ports of outgoing connections.
next_port=$((20000 + RANDOM % 8000))
free_port() { # sets port
  while :; do
    next_port=$((next_port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
      port=$next_port
      return
    fi
  done
}

start() { # name program flags...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  pid_of[$name]=$!
}

apis=()
ingresses=()
seeds=()
declare -A target_of
add_upstream() { # id data-centre region service version slots connections bad
  local id=$1 target ingress admission peer api
  free_port && target=$port
  free_port && ingress=$port
  free_port && admission=$port
  free_port && peer=$port
  free_port && api=$port
  start "$id-target" bin/sniperail-target --listen="127.0.0.1:$target" --name="$id" --target-version="$5" \
    --slots="$6" --connections="$7" --latency=2ms --bad="$8"
  start "$id" bin/sniperaild --id="$id" --data-centre="$2" --region="$3" --service="$4" --version="$5" \
    --target="127.0.0.1:$target" --ingress="127.0.0.1:$ingress" --admission="127.0.0.1:$admission" \
    --peer="127.0.0.1:$peer" --api="127.0.0.1:$api" --platform="$platform" --slots="$6" --connections="$7" \
    --warmup=0s ${seeds[0]:+--seeds="${seeds[0]}"}
  apis+=("127.0.0.1:$api")
  ingresses+=("127.0.0.1:$ingress")
  seeds+=("127.0.0.1:$peer")
  target_of[$id]=127.0.0.1:$target
}

await() { # description command...: polls until the command succeeds
  local what=$1 deadline=$((SECONDS + READY_SECONDS))
  shift
  until "$@"; do
    ((SECONDS < deadline)) || fail "$what within $READY_SECONDS s"
    sleep 0.2
  done
}

answers() { curl -fs -o "$work/answer" "http://$1"; }
declare_mesh() {
  bin/sniperail declare -f examples/most-mladych/mesh.yaml -f examples/granite-ledger/mesh.yaml -o json \
    >"$work/declare.json" 2>"$work/declare.log"
}
field() { # name file: the first value of a JSON field
  [[ $(<"$2") =~ \"$1\":\"?([^\",}]*) ]] && echo "${BASH_REMATCH[1]}"
}
status() { bin/sniperail get status -o json >"$work/status.json" 2>"$work/status.log"; }
in_force() { status && [[ $(field inForce "$work/status.json") == yes && $(field number "$work/status.json") -ge $1 ]]; }
executions() { # sum over targets
  local id sum=0
  for id in "$@"; do
    curl -fs "http://${target_of[$id]}/standin/counts" >"$work/counts.json"
    sum=$((sum + $(sed 's/.*"executions":\([0-9]*\).*/\1/' "$work/counts.json")))
  done
  echo "$sum"
}
plan_of() { sed -n 's/.*"plans":\[{"id":"\([^"]*\)".*/\1/p' "$1"; }

start_load() { # name
  bin/sniperail-bench load --ingress="$(IFS=,; echo "${ingresses[*]}")" --path=/placements/1,/tickets/1 \
    --rate="$RATE" --calls="$CALLS" >"$work/$1.json" 2>"$work/$1.log" &
  load=$!
  pids+=("$load")
}
stop_load() {
  kill -INT "$load"
  wait "$load" || fail "the load ended with an error"
}

