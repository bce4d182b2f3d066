#!/usr/bin/env bash
# Injects faults into real processes under load and checks the guarantees that must hold at all times. Prints a line for
# each check and exits with 0 only if all held. Needs bash, curl and the programs in bin/ (make build). Takes about two
# minutes.
readonly RATE=300                # calls/s; well below the capacity, so that no call is refused or lost because of the load
readonly CALLS=200000            # upper bound of a load; it is interrupted earlier
readonly READY_SECONDS=30        # longest time until all daemons are ready, and until the mesh is in force
readonly CONVERGENCE_SECONDS=13  # longest time until a change is in force on every running daemon
source "$(dirname "$0")/mesh.sh"

failures=0
check() { # name command...: prints whether the command succeeded, and continues, so that one run shows every failure
  local name=$1
  shift
  if "$@"; then echo "check=$name result=held"; else
    echo "check=$name result=FAILED"
    failures=$((failures + 1))
  fi
}

# set_faults sets the faults of the platform stand-in, given as JSON.
set_faults() { curl -fs -o "$work/answer" -X POST -H 'Content-Type: application/json' -d "$1" "$platform/standin/faults"; }

last_numbers=()
no_number_fell() { # fails if the number of a daemon fell since the last call; skips daemons that do not respond
  local i n api
  for i in "${!apis[@]}"; do
    api=${apis[$i]}
    n=$(curl -fs -m 1 -D - -o "$work/answer" "http://$api/healthz" | sed -n 's/^Sniperail-Number: \([0-9]*\).*/\1/p') || continue
    [[ -n $n ]] || continue
    ((n >= ${last_numbers[$i]:-0})) || { echo "number of $api fell from ${last_numbers[$i]} to $n"; return 1; }
    last_numbers[i]=$n
  done
}

changes=0
confirm_change() { # confirms a change of one route and sets number; fails if it is refused
  changes=$((changes + 1))
  cat >"$work/change.yaml" <<YAML
routes: [{name: schools, service: schools, pathPrefix: /schools, timeoutMs: $((4000 + changes))}]
YAML
  bin/sniperail declare -f "$work/change.yaml" -o json >"$work/declare.json" 2>"$work/declare.log" || return 1
  bin/sniperail confirm "$(plan_id "$work/declare.json")" -o json >"$work/confirm.json" 2>"$work/confirm.log" || return 1
  number=$(json_field number "$work/confirm.json")
}
fetch_number() { curl -fs -m 1 -D - -o "$work/answer" "http://$1/healthz" | sed -n 's/^Sniperail-Number: \([0-9]*\).*/\1/p'; }
all_reached() { # number: checks that every running daemon has this number or a higher one in force
  local i n
  for i in "${!apis[@]}"; do
    [[ -n ${is_stopped[$i]:-} ]] && continue
    n=$(fetch_number "${apis[$i]}")
    ((${n:-0} >= $1)) || return 1
  done
}
change_converges() { # confirms a change and checks that it reaches every running daemon within CONVERGENCE_SECONDS
  local deadline=$((SECONDS + CONVERGENCE_SECONDS))
  confirm_change || { cat "$work"/declare.log "$work"/confirm.log; return 1; }
  until all_reached "$number"; do
    ((SECONDS < deadline)) || return 1
    sleep 0.1
  done
}

declare -A is_stopped
find_leader() { # api: sets leader_index to the index of the daemon that leads the data centre of the daemon with this API
  local address i
  SNIPERAIL_SERVER=$1 bin/sniperail get status -o json >"$work/status.json" 2>"$work/status.log" || return 1
  address=$(json_field leader "$work/status.json")
  for i in "${!seeds[@]}"; do
    [[ ${seeds[$i]} == "$address" ]] && leader_index=$i && return 0
  done
  return 1
}

is_load_clean() { # name: checks that no call of the load was wrong, cut, lost, failed or refused
  local r=$work/$1.json key
  for key in wrong cut lost failed refused; do
    [[ $(json_field $key "$r") == 0 ]] || { cat "$r"; return 1; }
  done
  echo "load=$1 calls=$(json_field calls "$r") wrong=0 cut=0 lost=0 failed=0 refused=0"
}
begin_scenario() {
  echo "== $1"
  start_load "$1"
}
end_scenario() {
  stop_load
  check "$1-every-answer-whole" is_load_clean "$1"
  check "$1-no-number-fell" no_number_fell
}

SECONDS=0
pick_free_port
platform=http://127.0.0.1:$port
start_process platform bin/sniperail-platform --listen="127.0.0.1:$port"
ids=()
for dc in praha brno; do
  for n in 1 2 3; do
    ids+=("placements-$dc-$n")
    add_upstream "placements-$dc-$n" "$dc" cz-central placements v1 12 130 none
  done
done
ids+=(ticket-desk-1 ticket-desk-2 schools-1)
add_upstream ticket-desk-1 worcester new-england ticket-desk v1 10 110 none
add_upstream ticket-desk-2 worcester new-england ticket-desk v1 10 110 none
# Not in praha or brno, whose leaders are killed and paused.
add_upstream schools-1 worcester new-england schools v1 12 130 none 700ms
SNIPERAIL_SERVER=$(IFS=,; echo "${apis[*]}")
export SNIPERAIL_SERVER SNIPERAIL_OPERATOR=faults
for api in "${apis[@]}"; do wait_until "daemon $api runs" responds "$api/healthz"; done
wait_until "the mesh is declared" declare_mesh
bin/sniperail confirm "$(plan_id "$work/declare.json")"
for api in "${apis[@]}"; do wait_until "daemon $api is ready" responds "$api/readyz"; done
wait_until "the mesh is in force" is_in_force 1
sleep 3 # every daemon knows the targets within this time
all_ingresses=("${ingresses[@]}")
# Callers do not use the ingress of a daemon that a check kills, since their connections to it end with the process.
use_ingresses() { ingresses=("${all_ingresses[@]:6:2}"); }
use_ingresses

begin_scenario quiet
sleep 3
check quiet-change-converges change_converges
end_scenario quiet

begin_scenario platform-down
set_faults '{"down":"drop"}'
sleep 10
check platform-down-command-is-refused eval '! confirm_change'
set_faults '{"down":""}'
sleep 3
check platform-down-change-converges-after change_converges
end_scenario platform-down

begin_scenario lost-answer
before=$(fetch_number "${apis[0]}")
set_faults '{"lose_answers":1}'
check lost-answer-command-succeeds confirm_change
sleep 1
check lost-answer-applied-once test "$(fetch_number "${apis[0]}")" == $((before + 1))
end_scenario lost-answer

begin_scenario racing-operators
cat >"$work/race.yaml" <<'YAML'
routes: [{name: families, service: families, pathPrefix: /families, timeoutMs: 2000}]
YAML
for i in 1 2; do bin/sniperail declare -f "$work/race.yaml" -o json >"$work/race$i.json"; done
wins=0
for i in 1 2; do
  (bin/sniperail confirm "$(plan_id "$work/race$i.json")" >"$work/race$i.log" 2>&1 && echo yes || echo no) >"$work/race$i.won" &
  racer_pids[i]=$!
done
wait "${racer_pids[1]}" "${racer_pids[2]}"
wins=$(cat "$work"/race?.won | grep -c yes || true)
check racing-operators-one-wins test "$wins" == 1
check racing-operators-conflict-names-both-numbers grep -Eq 'made at number [0-9]+, but service "families" changed at number [0-9]+ by faults' "$work/race1.log" "$work/race2.log"
end_scenario racing-operators

begin_scenario leader-killed
find_leader "${apis[0]}"
killed_index=$leader_index
is_stopped[$killed_index]=1
kill -KILL "${pid_of[${ids[$killed_index]}]}"
sleep 1
check leader-killed-change-converges change_converges
sleep 12
check leader-killed-next-change-converges change_converges
end_scenario leader-killed

begin_scenario leader-paused
find_leader "${apis[3]}"
paused_index=$leader_index
kill -STOP "${pid_of[${ids[$paused_index]}]}"
is_stopped[$paused_index]=1
sleep 10
check leader-paused-change-converges change_converges
kill -CONT "${pid_of[${ids[$paused_index]}]}"
unset "is_stopped[$paused_index]"
sleep 5
check leader-paused-catches-up all_reached "$number"
check leader-paused-next-change-converges change_converges
end_scenario leader-paused

begin_scenario drained
# The daemon of a target is drained under load: no call may be cut, lost or refused.
drained_index=0
((drained_index == killed_index)) && drained_index=1
kill -TERM "${pid_of[${ids[$drained_index]}]}"
is_stopped[$drained_index]=1
sleep 5
check drained-daemon-ended eval '! kill -0 "${pid_of[${ids[$drained_index]}]}" 2>/dev/null'
end_scenario drained

begin_scenario data-centre-returns
for i in 3 4 5; do
  kill -KILL "${pid_of[${ids[$i]}]}" "${pid_of[${ids[$i]}-target]}"
  is_stopped["$i"]=1
done
sleep 8
check data-centre-lost-change-converges change_converges
# The daemons start again with the same ids at other addresses.
for i in 3 4 5; do
  add_upstream "${ids[$i]}" brno cz-central placements v1 12 130 none
  ids+=("${ids[$i]}")
done
use_ingresses
for i in 1 2 3; do wait_until "daemon ${apis[-$i]} is ready" responds "${apis[-$i]}/readyz"; done
check data-centre-returned-with-no-old-number all_reached "$number"
check data-centre-returned-change-converges change_converges
end_scenario data-centre-returns

# finishes_call_in_flight sends a call that takes 0.7 s, ends a daemon on its path meanwhile, and checks that the response is
# complete.
finishes_call_in_flight() { # name ingress id-of-daemon
  curl -fs -m 10 -o "$work/$1.body" -H 'X-Request-Id: '"$1" "http://$2/schools/1" &
  local caller=$!
  sleep 0.2
  kill -TERM "${pid_of[$3]}"
  wait "$caller"
}
check drained-ingress-finishes-its-call finishes_call_in_flight ingress "${all_ingresses[7]}" ticket-desk-2
check drained-admission-finishes-its-call finishes_call_in_flight admission "${all_ingresses[6]}" schools-1

((failures == 0)) || fail "$failures checks failed"
echo "every check held after $SECONDS s"
