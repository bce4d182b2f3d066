# Functions that start a small mesh of both customers on loopback. demo.sh and faults.sh set RATE, CALLS and READY_SECONDS,
# then source this file. When the script exits, it ends every process that it started, by its process id.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

work=$(mktemp -d)
pids=()
declare -A pid_of

# stop_processes ends the processes that this script started, and no others: SIGTERM first, SIGKILL after 5 s.
stop_processes() {
  local pid deadline=$((SECONDS + 5))
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

cleanup() {
  local code=$?
  trap - EXIT INT TERM
  stop_processes
  if ((code != 0)) && [[ -z ${KEEP_LOGS:-} ]]; then
    echo "failed; last lines of the logs follow (KEEP_LOGS=DIR keeps them)" >&2
    tail -n 3 "$work"/*.log >&2 || true
  fi
  if [[ -n ${KEEP_LOGS:-} ]]; then mkdir -p "$KEEP_LOGS" && cp "$work"/* "$KEEP_LOGS"/; fi
  rm -rf "$work"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "check failed: $*" >&2
  exit 1
}

# The ports are below the range from which the kernel takes the ports of outgoing connections.
next_port=$((20000 + RANDOM % 8000))
pick_free_port() { # sets port to a port on which nothing listens
  while :; do
    next_port=$((next_port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
      port=$next_port
      return
    fi
  done
}

start_process() { # name program flags...: runs the program in the background with its output in NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  pid_of[$name]=$!
}

apis=()
ingresses=()
seeds=()
declare -A target_address_of
# add_upstream starts a target and its daemon.
add_upstream() { # id data-centre region service version slots connections bad [latency]
  local id=$1 target ingress admission peer api
  pick_free_port && target=$port
  pick_free_port && ingress=$port
  pick_free_port && admission=$port
  pick_free_port && peer=$port
  pick_free_port && api=$port
  start_process "$id-target" bin/sniperail-target --listen="127.0.0.1:$target" --name="$id" --target-version="$5" \
    --slots="$6" --connections="$7" --latency="${9:-2ms}" --bad="$8"
  start_process "$id" bin/sniperaild --id="$id" --data-centre="$2" --region="$3" --service="$4" --version="$5" \
    --target="127.0.0.1:$target" --ingress="127.0.0.1:$ingress" --admission="127.0.0.1:$admission" \
    --peer="127.0.0.1:$peer" --api="127.0.0.1:$api" --platform="$platform" --slots="$6" --connections="$7" \
    --warmup=0s ${seeds[0]:+--seeds="${seeds[0]}"}
  apis+=("127.0.0.1:$api")
  ingresses+=("127.0.0.1:$ingress")
  seeds+=("127.0.0.1:$peer")
  target_address_of[$id]=127.0.0.1:$target
}

wait_until() { # description command...: polls until the command succeeds, fails after READY_SECONDS
  local description=$1 deadline=$((SECONDS + READY_SECONDS))
  shift
  until "$@"; do
    ((SECONDS < deadline)) || fail "$description within $READY_SECONDS s"
    sleep 0.2
  done
}

responds() { curl -fs -o "$work/answer" "http://$1"; }
declare_mesh() {
  bin/sniperail declare -f examples/most-mladych/mesh.yaml -f examples/granite-ledger/mesh.yaml -o json \
    >"$work/declare.json" 2>"$work/declare.log"
}
json_field() { # name file: prints the first value of a JSON field
  [[ $(<"$2") =~ \"$1\":\"?([^\",}]*) ]] && echo "${BASH_REMATCH[1]}"
}
fetch_status() { bin/sniperail get status -o json >"$work/status.json" 2>"$work/status.log"; }
is_in_force() { fetch_status && [[ $(json_field inForce "$work/status.json") == yes && $(json_field number "$work/status.json") -ge $1 ]]; }
sum_executions() { # id...: prints the number of calls that the targets executed
  local id sum=0
  for id in "$@"; do
    curl -fs "http://${target_address_of[$id]}/standin/counts" >"$work/counts.json"
    sum=$((sum + $(sed 's/.*"executions":\([0-9]*\).*/\1/' "$work/counts.json")))
  done
  echo "$sum"
}
# plan_id prints the id of the first plan in a file.
plan_id() { sed -n 's/.*"plans":\[{"id":"\([^"]*\)".*/\1/p' "$1"; }

start_load() { # name: sends calls in the background until stop_load; the result is in NAME.json
  bin/sniperail-bench load --ingress="$(IFS=,; echo "${ingresses[*]}")" --path=/placements/1,/tickets/1 \
    --rate="$RATE" --calls="$CALLS" >"$work/$1.json" 2>"$work/$1.log" &
  load_pid=$!
  pids+=("$load_pid")
}
stop_load() {
  kill -INT "$load_pid"
  wait "$load_pid" || fail "the load ended with an error"
}

