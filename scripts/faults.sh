#!/usr/bin/env bash
# Brings about failures on real processes under load and checks what must always hold. Prints a line for each check and
# exits with 0 only if all held. Needs bash, curl and the programs in bin/ (make build). Takes about two minutes.
readonly RATE=300          # calls/s; well below the capacity, so that every refusal or loss has another cause
readonly CALLS=200000      # upper bound of a load; it is interrupted earlier
readonly READY_SECONDS=30  # most time for all daemons to become ready, and for a change to be in force
readonly FORCE_SECONDS=13  # a change is in force everywhere within this time
source "$(dirname "$0")/mesh.sh"

failures=0
check() { # name condition-command... : reports and goes on, so that one run shows every failure
  local name=$1
  shift
  if "$@"; then echo "check=$name result=held"; else
    echo "check=$name result=FAILED"
    failures=$((failures + 1))
  fi
}

fault() { curl -fs -o "$work/answer" -X POST -H 'Content-Type: application/json' -d "$1" "$platform/standin/faults"; }

numbers=()
observe_numbers() { # fails if a daemon's number fell since the last call; a daemon without an answer is passed over
  local i n api
  for i in "${!apis[@]}"; do
    api=${apis[$i]}
    n=$(curl -fs -m 1 -D - -o "$work/answer" "http://$api/healthz" | sed -n 's/^Sniperail-Number: \([0-9]*\).*/\1/p') || continue
    [[ -n $n ]] || continue
    ((n >= ${numbers[$i]:-0})) || { echo "number of $api fell from ${numbers[$i]} to $n"; return 1; }
    numbers[i]=$n
  done
}

changes=0
change() { # confirms a change of one route and sets number; fails if it is refused
  changes=$((changes + 1))
  cat >"$work/change.yaml" <<YAML
routes: [{name: schools, service: schools, pathPrefix: /schools, timeoutMs: $((4000 + changes))}]
YAML
  bin/sniperail declare -f "$work/change.yaml" -o json >"$work/declare.json" 2>"$work/declare.log" || return 1
  bin/sniperail confirm "$(plan_of "$work/declare.json")" -o json >"$work/confirm.json" 2>"$work/confirm.log" || return 1
  number=$(field number "$work/confirm.json")
}
number_of() { curl -fs -m 1 -D - -o "$work/answer" "http://$1/healthz" | sed -n 's/^Sniperail-Number: \([0-9]*\).*/\1/p'; }
reached() { # number: every daemon that is running has it
  local i n
  for i in "${!apis[@]}"; do
    [[ -n ${stopped[$i]:-} ]] && continue
    n=$(number_of "${apis[$i]}")
    ((${n:-0} >= $1)) || return 1
  done
}
converges() { # a change reaches every running daemon within FORCE_SECONDS
  local deadline=$((SECONDS + FORCE_SECONDS))
  change || { cat "$work"/declare.log "$work"/confirm.log; return 1; }
  until reached "$number"; do
    ((SECONDS < deadline)) || return 1
    sleep 0.1
  done
}

declare -A stopped
leader() { # sets index of the daemon that leads a data centre, as a daemon of it says
  local address i
  SNIPERAIL_SERVER=$1 bin/sniperail get status -o json >"$work/status.json" 2>"$work/status.log" || return 1
  address=$(field leader "$work/status.json")
  for i in "${!seeds[@]}"; do
    [[ ${seeds[$i]} == "$address" ]] && index=$i && return 0
  done
  return 1
}

load_clean() { # result: no call wrong, cut or lost, none refused, none failed
  local r=$work/$1.json key
  for key in wrong cut lost failed refused; do
    [[ $(field $key "$r") == 0 ]] || { cat "$r"; return 1; }
  done
  echo "load=$1 calls=$(field calls "$r") wrong=0 cut=0 lost=0 failed=0 refused=0"
}
begin() {
  echo "== $1"
  start_load "$1"
}
end() {
  stop_load
  check "$1-every-answer-whole" load_clean "$1"
  check "$1-no-number-fell" observe_numbers
}

SECONDS=0
free_port
platform=http://127.0.0.1:$port
start platform bin/sniperail-platform --listen="127.0.0.1:$port"
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
for api in "${apis[@]}"; do await "daemon $api runs" answers "$api/healthz"; done
await "the mesh is declared" declare_mesh
bin/sniperail confirm "$(plan_of "$work/declare.json")"
for api in "${apis[@]}"; do await "daemon $api is ready" answers "$api/readyz"; done
await "the mesh is in force" in_force 1
sleep 3 # the targets are known everywhere within this time
all_ingresses=("${ingresses[@]}")
# Callers do not use the ingress of a daemon that a check kills: its own connections die with it.
use_ingresses() { ingresses=("${all_ingresses[@]:6:2}"); }
use_ingresses

begin quiet
sleep 3
check quiet-change-converges converges
end quiet

begin platform-down
fault '{"down":"drop"}'
sleep 10
check platform-down-command-is-refused eval '! change'
fault '{"down":""}'
sleep 3
check platform-down-change-converges-after converges
end platform-down

begin lost-answer
before=$(number_of "${apis[0]}")
fault '{"lose_answers":1}'
check lost-answer-command-succeeds change
sleep 1
check lost-answer-applied-once test "$(number_of "${apis[0]}")" == $((before + 1))
end lost-answer

begin racing-operators
cat >"$work/race.yaml" <<'YAML'
routes: [{name: families, service: families, pathPrefix: /families, timeoutMs: 2000}]
YAML
for i in 1 2; do bin/sniperail declare -f "$work/race.yaml" -o json >"$work/race$i.json"; done
won=0
for i in 1 2; do
  (bin/sniperail confirm "$(plan_of "$work/race$i.json")" >"$work/race$i.log" 2>&1 && echo yes || echo no) >"$work/race$i.won" &
  racers[i]=$!
done
wait "${racers[1]}" "${racers[2]}"
won=$(cat "$work"/race?.won | grep -c yes || true)
check racing-operators-one-wins test "$won" == 1
check racing-operators-conflict-names-both-numbers grep -Eq 'made at number [0-9]+, but service "families" changed at number [0-9]+ by faults' "$work/race1.log" "$work/race2.log"
end racing-operators

begin leader-killed
leader "${apis[0]}"
killed=$index
stopped[$killed]=1
kill -KILL "${pid_of[${ids[$killed]}]}"
sleep 1
check leader-killed-change-converges converges
sleep 12
check leader-killed-next-change-converges converges
end leader-killed

begin leader-paused
leader "${apis[3]}"
paused=$index
kill -STOP "${pid_of[${ids[$paused]}]}"
stopped[$paused]=1
sleep 10
check leader-paused-change-converges converges
kill -CONT "${pid_of[${ids[$paused]}]}"
unset "stopped[$paused]"
sleep 5
check leader-paused-catches-up reached "$number"
check leader-paused-next-change-converges converges
end leader-paused

begin drained
# A target daemon leaves under load: no call may be cut, lost or refused.
drained=0
((drained == killed)) && drained=1
kill -TERM "${pid_of[${ids[$drained]}]}"
stopped[$drained]=1
sleep 5
check drained-daemon-ended eval '! kill -0 "${pid_of[${ids[$drained]}]}" 2>/dev/null'
end drained

begin data-centre-returns
for i in 3 4 5; do
  kill -KILL "${pid_of[${ids[$i]}]}" "${pid_of[${ids[$i]}-target]}"
  stopped["$i"]=1
done
sleep 8
check data-centre-lost-change-converges converges
# The daemons return under their names at other addresses.
for i in 3 4 5; do
  add_upstream "${ids[$i]}" brno cz-central placements v1 12 130 none
  ids+=("${ids[$i]}")
done
use_ingresses
for i in 1 2 3; do await "daemon ${apis[-$i]} is ready" answers "${apis[-$i]}/readyz"; done
check data-centre-returned-with-no-old-number reached "$number"
check data-centre-returned-change-converges converges
end data-centre-returns

# in_flight sends a call that takes 0.7 s, ends a daemon on its path meanwhile, and requires the whole answer.
in_flight() { # name ingress id-of-daemon
  curl -fs -m 10 -o "$work/$1.body" -H 'X-Request-Id: '"$1" "http://$2/schools/1" &
  local caller=$!
  sleep 0.2
  kill -TERM "${pid_of[$3]}"
  wait "$caller"
}
check drained-ingress-finishes-its-call in_flight ingress "${all_ingresses[7]}" ticket-desk-2
check drained-admission-finishes-its-call in_flight admission "${all_ingresses[6]}" schools-1

((failures == 0)) || fail "$failures checks failed"
echo "every check held after $SECONDS s"
