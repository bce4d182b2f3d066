#!/usr/bin/env bash
# Runs a small mesh of both customers on loopback and moves traffic twice: to a good version, which must finish, and to a
# failing version, which must be withdrawn. Exits with 0 only if every check held. Needs bash, curl and the programs in
# bin/ (make build). Leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly RATE=600          # calls/s over both services; the plan for an 18 s move needs about 300 a service
readonly CALLS=60000       # upper bound of a load; it is interrupted earlier
readonly BAD_PERCENT=5     # most of the failing service's calls that the failing version may receive
readonly READY_SECONDS=20  # most time for all daemons to become ready, and for a change to be in force

work=$(mktemp -d)
pids=()
started=$SECONDS

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
  if ((code != 0)) && [[ -z ${DEMO_LOGS:-} ]]; then
    echo "demo failed; last lines of the logs follow (DEMO_LOGS=DIR keeps them)" >&2
    tail -n 3 "$work"/*.log >&2 || true
  fi
  if [[ -n ${DEMO_LOGS:-} ]]; then mkdir -p "$DEMO_LOGS" && cp "$work"/* "$DEMO_LOGS"/; fi
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

# run_move declares a move, shows that nothing happened, confirms it and follows it to its end.
run_move() { # name file outcome new-version-targets...
  local name=$1 file=$2 outcome=$3 code=0 before after number
  shift 3
  sleep 3 # the plan is made from the load that was measured
  before=$(executions "$@")
  status && number=$(field number "$work/status.json")
  bin/sniperail declare -f "$file" -o json >"$work/declare.json"
  plan=$(plan_of "$work/declare.json")
  bin/sniperail get plans
  sleep 1
  status
  after=$(executions "$@")
  echo "declared plan=$plan number=$number->$(field number "$work/status.json") calls_of_new_version=$((after - before))"
  [[ $number == "$(field number "$work/status.json")" && $before == "$after" ]] || fail "a declaration changed something"
  bin/sniperail confirm "$plan"
  bin/sniperail watch "$plan" || code=$?
  [[ $code == "$([[ $outcome == done ]] && echo 0 || echo 1)" ]] || fail "move $plan: exit code $code"
  bin/sniperail get moves -o json >"$work/moves.json"
  grep -q "\"move\":\"$plan\",[^}]*\"phase\":\"$outcome\"" "$work/moves.json" || fail "move $plan is not $outcome"
}

# confirm_twice sends one placement confirmation through two ingresses; it must be executed once and answered twice alike.
confirm_twice() {
  local i id count=0
  for i in 1 2; do
    # The repeat is refused as running until the first answer is stored, about 0.1 s after it was sent.
    curl -fs --retry 5 --retry-delay 1 --retry-all-errors -o "$work/once$i" -H 'Idempotency-Key: demo-confirmation' \
      -d '{"pupil":1,"family":2}' "http://${ingresses[$i]}/placements/confirm" || fail "placement confirmation $i was refused"
  done
  for id in placements-1 placements-2 placements-3 placements-4; do
    curl -fs "http://${target_of[$id]}/standin/counts" >"$work/counts.json"
    [[ $(<"$work/counts.json") =~ \"demo-confirmation\":([0-9]+) ]] && count=$((count + BASH_REMATCH[1]))
  done
  echo "placement confirmation sent=2 executed=$count"
  [[ $count == 1 ]] && cmp -s "$work/once1" "$work/once2" || fail "a placement confirmation ran $count times"
}

summary() { # name outcome bad-calls
  local r=$work/$1.json
  echo "move=$plan outcome=$2 calls=$(field calls "$r") wrong=$(field wrong "$r") cut=$(field cut "$r")" \
    "bad_calls=$3 seconds=$((SECONDS - move_started))"
  [[ $(field wrong "$r") == 0 && $(field cut "$r") == 0 && $(field lost "$r") == 0 ]] || fail "responses: $(cat "$r")"
}

SECONDS=0
free_port
platform=http://127.0.0.1:$port
start platform bin/sniperail-platform --listen="127.0.0.1:$port"
add_upstream placements-1 praha cz-central placements v1 12 130 none
add_upstream placements-2 brno cz-central placements v1 12 130 none
add_upstream placements-3 praha cz-central placements v2 12 130 none
add_upstream placements-4 brno cz-central placements v2 12 130 none
add_upstream ticket-desk-1 worcester new-england ticket-desk v1 10 110 none
add_upstream ticket-desk-2 worcester new-england ticket-desk v1 10 110 none
add_upstream ticket-desk-3 worcester new-england ticket-desk v2 10 110 fail
SNIPERAIL_SERVER=$(IFS=,; echo "${apis[*]}")
export SNIPERAIL_SERVER SNIPERAIL_OPERATOR=demo

for api in "${apis[@]}"; do await "daemon $api runs" answers "$api/healthz"; done
await "the mesh is declared" declare_mesh
bin/sniperail confirm "$(plan_of "$work/declare.json")"
# A daemon is ready once it has the first configuration.
for api in "${apis[@]}"; do await "daemon $api is ready" answers "$api/readyz"; done
await "the mesh is in force" in_force 1
bin/sniperail get versions

confirm_twice

cat >"$work/good.yaml" <<'YAML'
moves: [{service: placements, to: v2, in: 18s, watch: 3s}]
YAML
cat >"$work/bad.yaml" <<'YAML'
moves: [{service: ticket-desk, to: v2, in: 18s, watch: 3s}]
YAML

echo "== move of placements to v2"
move_started=$SECONDS
start_load good
run_move good "$work/good.yaml" done placements-3 placements-4
old=$(executions placements-1 placements-2)
sleep 1
[[ $old == "$(executions placements-1 placements-2)" ]] || fail "the old version still receives calls"
stop_load
summary good done 0

echo "== move of ticket-desk to v2, which fails"
move_started=$SECONDS
start_load bad
run_move bad "$work/bad.yaml" withdrawn ticket-desk-3
bad=$(executions ticket-desk-3)
sleep 1
[[ $bad == "$(executions ticket-desk-3)" ]] || fail "the withdrawn version still receives calls"
stop_load
summary bad withdrawn "$bad"
total=$(field calls "$work/bad.json")
((bad * 100 * 2 <= total * BAD_PERCENT)) || fail "the failing version received $bad of $((total / 2)) calls"
echo "every check held after $SECONDS s"
