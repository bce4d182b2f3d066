#!/usr/bin/env bash
# Runs a small mesh of both customers on loopback and two moves: one to a good version, which must finish, and one to a
# failing version, which must be withdrawn. Exits with 0 only if every check held. Needs bash, curl and the programs in
# bin/ (make build). Ends all processes that it started.
readonly RATE=600          # calls/s over both services; the plan for an 18 s move needs about 300 per service
readonly CALLS=60000       # upper bound of a load; it is interrupted earlier
readonly BAD_PERCENT=5     # largest percentage of the failing service's calls that the failing version may receive
readonly READY_SECONDS=20  # longest time until all daemons are ready, and until a change is in force
source "$(dirname "$0")/mesh.sh"

# run_move declares a move, checks that the declaration changed nothing, confirms the move and follows it to its end.
run_move() { # name file outcome new-version-targets...
  local name=$1 file=$2 outcome=$3 code=0 before after number
  shift 3
  sleep 3 # the plan needs a measurement of the load
  before=$(sum_executions "$@")
  fetch_status && number=$(json_field number "$work/status.json")
  bin/sniperail declare -f "$file" -o json >"$work/declare.json"
  plan=$(plan_id "$work/declare.json")
  bin/sniperail get plans
  sleep 1
  fetch_status
  after=$(sum_executions "$@")
  echo "declared plan=$plan number=$number->$(json_field number "$work/status.json") calls_of_new_version=$((after - before))"
  [[ $number == "$(json_field number "$work/status.json")" && $before == "$after" ]] || fail "a declaration changed something"
  bin/sniperail confirm "$plan"
  bin/sniperail watch "$plan" || code=$?
  [[ $code == "$([[ $outcome == done ]] && echo 0 || echo 1)" ]] || fail "move $plan: exit code $code"
  bin/sniperail get moves -o json >"$work/moves.json"
  grep -q "\"move\":\"$plan\",[^}]*\"phase\":\"$outcome\"" "$work/moves.json" || fail "move $plan is not $outcome"
}

# confirm_twice sends the same placement confirmation through two ingresses: it must be executed once, and both responses
# must be equal.
confirm_twice() {
  local i id count=0
  for i in 1 2; do
    # The second request is refused as running until the first response is stored, about 0.1 s after it was sent.
    curl -fs --retry 5 --retry-delay 1 --retry-all-errors -o "$work/once$i" -H 'Idempotency-Key: demo-confirmation' \
      -d '{"pupil":1,"family":2}' "http://${ingresses[$i]}/placements/confirm" || fail "placement confirmation $i was refused"
  done
  for id in placements-1 placements-2 placements-3 placements-4; do
    curl -fs "http://${target_address_of[$id]}/standin/counts" >"$work/counts.json"
    [[ $(<"$work/counts.json") =~ \"demo-confirmation\":([0-9]+) ]] && count=$((count + BASH_REMATCH[1]))
  done
  echo "placement confirmation sent=2 executed=$count"
  [[ $count == 1 ]] && cmp -s "$work/once1" "$work/once2" || fail "a placement confirmation ran $count times"
}

# print_summary prints the result of a load, and fails if a response was wrong, cut or lost.
print_summary() { # name outcome bad-calls
  local r=$work/$1.json
  echo "move=$plan outcome=$2 calls=$(json_field calls "$r") wrong=$(json_field wrong "$r") cut=$(json_field cut "$r")" \
    "bad_calls=$3 seconds=$((SECONDS - move_started))"
  [[ $(json_field wrong "$r") == 0 && $(json_field cut "$r") == 0 && $(json_field lost "$r") == 0 ]] || fail "responses: $(cat "$r")"
}

SECONDS=0
pick_free_port
platform=http://127.0.0.1:$port
start_process platform bin/sniperail-platform --listen="127.0.0.1:$port"
add_upstream placements-1 praha cz-central placements v1 12 130 none
add_upstream placements-2 brno cz-central placements v1 12 130 none
add_upstream placements-3 praha cz-central placements v2 12 130 none
add_upstream placements-4 brno cz-central placements v2 12 130 none
add_upstream ticket-desk-1 worcester new-england ticket-desk v1 10 110 none
add_upstream ticket-desk-2 worcester new-england ticket-desk v1 10 110 none
add_upstream ticket-desk-3 worcester new-england ticket-desk v2 10 110 fail
SNIPERAIL_SERVER=$(IFS=,; echo "${apis[*]}")
export SNIPERAIL_SERVER SNIPERAIL_OPERATOR=demo

for api in "${apis[@]}"; do wait_until "daemon $api runs" responds "$api/healthz"; done
wait_until "the mesh is declared" declare_mesh
bin/sniperail confirm "$(plan_id "$work/declare.json")"
# A daemon is ready once it has the first configuration.
for api in "${apis[@]}"; do wait_until "daemon $api is ready" responds "$api/readyz"; done
wait_until "the mesh is in force" is_in_force 1
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
old_executions=$(sum_executions placements-1 placements-2)
sleep 1
[[ $old_executions == "$(sum_executions placements-1 placements-2)" ]] || fail "the old version still receives calls"
stop_load
print_summary good done 0

echo "== move of ticket-desk to v2, which fails"
move_started=$SECONDS
start_load bad
run_move bad "$work/bad.yaml" withdrawn ticket-desk-3
bad_calls=$(sum_executions ticket-desk-3)
sleep 1
[[ $bad_calls == "$(sum_executions ticket-desk-3)" ]] || fail "the withdrawn version still receives calls"
stop_load
print_summary bad withdrawn "$bad_calls"
total=$(json_field calls "$work/bad.json")
((bad_calls * 100 * 2 <= total * BAD_PERCENT)) || fail "the failing version received $bad_calls of $((total / 2)) calls"
echo "every check held after $SECONDS s"
