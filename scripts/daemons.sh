#!/usr/bin/env bash
# Starts COUNT daemons in CENTRES data centres with one platform and one target stand-in on loopback, runs a command with
# the API addresses of the daemons in API, separated by commas, and ends the processes that it started. Needs the programs
# in bin/ (make build).
#   scripts/daemons.sh COUNT CENTRES COMMAND...
set -euo pipefail
cd "$(dirname "$0")/.."

readonly count=$1 centres=$2
shift 2
((count >= 1 && count <= 200)) || { echo "COUNT must be from 1 to 200" >&2; exit 2; }
readonly START_SECONDS=60
# Each daemon uses four ports, below the range from which the kernel takes the ports of outgoing connections.
readonly BASE_PORT=20000

work=$(mktemp -d)
pids=()
cleanup() {
  local code=$? pid
  trap - EXIT
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start_process() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

start_process platform bin/sniperail-platform --listen=127.0.0.1:19998
start_process target bin/sniperail-target --listen=127.0.0.1:19999 --target-version=v1
API=
for ((i = 0; i < count; i++)); do
  port=$((BASE_PORT + 4 * i))
  start_process "daemon-$i" bin/sniperaild --id="bench-$i" --data-centre="dc$((i % centres))" --region=r1 --service=bench \
    --version=v1 --target=127.0.0.1:19999 --ingress=127.0.0.1:$port --admission=127.0.0.1:$((port + 1)) \
    --peer=127.0.0.1:$((port + 2)) --api=127.0.0.1:$((port + 3)) --platform=http://127.0.0.1:19998 --log-level=warn
  API+=${API:+,}127.0.0.1:$((port + 3))
done
export API
deadline=$((SECONDS + START_SECONDS))
for api in ${API//,/ }; do
  until curl -fs -o "$work/answer" "http://$api/healthz"; do
    ((SECONDS < deadline)) || { echo "daemon $api did not start" >&2; exit 1; }
    sleep 0.2
  done
done
sleep 12 # elections and the assignment of relays take less than this
"$@"
