#!/usr/bin/env bash
# Runs a cell of three availability zones on the loopback interface: 7 instances, 12 simulated workers
# and 6 simulated backend servers. Submits a configuration, runs a service, a batch and a gang, sends
# requests with and without an overload, shuts everything down gracefully and prints the report. The
# exit status is 0 only if every promise was kept. BIN is the folder of the built programs. KEEP may
# name a folder to which logs and journals are copied at the end.
set -euo pipefail

bin=${BIN:?BIN is not set to the folder of the built programs}
dir=$(mktemp -d)
declare -A pids=() address=() zone=()

log() { printf '== %s\n' "$*"; }

# now prints the time in microseconds since the Unix epoch, the unit of the journals.
now() { date +%s%6N; }

# event records a process event in the journal events.jsonl.
event() { # kind, name, status
  printf '{"event":{"event":"%s","name":"%s","entry":"%s","time":%s,"status":%s}}\n' \
    "$1" "$2" "${address[$2]:-}" "$(now)" "${3:-0}" >>"$dir/events.jsonl"
}

# start runs a command in the background and records its start.
start() { # name, command...
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids[$name]=$!
  event start "$name"
}

# stop sends SIGTERM to the named processes, waits for them and records their exit status.
stop() { # name...
  local name status
  for name in "$@"; do
    [[ -n $name ]] || continue
    event term "$name"
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "$@"; do
    [[ -n $name ]] || continue
    status=0
    wait "${pids[$name]}" || status=$?
    event exit "$name" "$status"
    unset "pids[$name]"
  done
}

# cleanup terminates the remaining processes by process ID, with SIGKILL after 2 s, and removes the
# temporary folder.
cleanup() {
  local status=$? name i
  trap - EXIT INT TERM
  if ((status != 0)); then
    log "failed with status $status; last lines of the logs"
    tail -n 3 "$dir"/*.log 2>/dev/null || true
  fi
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for i in {1..20}; do
    jobs -pr | grep -q . || break
    sleep 0.1
  done
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait || true
  if [[ -n ${KEEP:-} ]]; then cp -r "$dir/." "$KEEP"; fi
  rm -rf "$dir"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

instances=(east1 east2 east3 west1 west2 north1 north2)
voters_east="east1, east2, east3"
voters_west="west1, west2"
voters_north="north1, north2"
declare -A witness=([west]=east2 [north]=east3)

mapfile -t ports < <("$bin/vbstand" ports $((2 * ${#instances[@]})))
declare -A peer=()
for i in "${!instances[@]}"; do
  name=${instances[$i]}
  address[$name]=127.0.0.1:${ports[$((2 * i))]}
  peer[$name]=127.0.0.1:${ports[$((2 * i + 1))]}
  zone[$name]=${name%[0-9]}
done

# settings prints the settings file of an instance.
settings() { # name
  local name=$1 z=${zone[$1]} other
  local voters=voters_$z
  printf '[instance]\nname = %s\nzone = %s-a\nregion = %s\ndata = %s\nbootstrap = true\n' "$name" "$z" "$z" "$dir/data-$name"
  printf '[listen]\nhttp = %s\npeer = %s\n[peers]\n' "${address[$name]}" "${peer[$name]}"
  for other in "${instances[@]}"; do
    [[ $other == "$name" ]] || printf '%s = %s-a %s %s %s\n' "$other" "${zone[$other]}" "${zone[$other]}" "${address[$other]}" "${peer[$other]}"
  done
  printf '[group]\nvoters = %s\ncell = east1, west1, north1, east2, west2\n' "${!voters}"
  [[ -z ${witness[$z]:-} ]] || printf 'witness = %s\n' "${witness[$z]}"
  for other in "${!witness[@]}"; do
    voters=voters_$other
    [[ ${witness[$other]} != "$name" ]] || printf '[witness]\n%s-a = %s\n' "$other" "${!voters}"
  done
}

# entries_of prints the addresses of the instances of a zone, separated by commas.
entries_of() { # zone
  local name list=()
  for name in "${instances[@]}"; do
    if [[ ${zone[$name]} == "$1" ]]; then list+=("${address[$name]}"); fi
  done
  (IFS=,; echo "${list[*]}")
}

targets=()
for name in "${instances[@]}"; do targets+=("$name=${address[$name]}"); done
all=$(IFS=,; for name in "${instances[@]}"; do printf '%s,' "${address[$name]}"; done)

log "starting 7 instances, 12 workers and 6 backend servers"
for name in "${instances[@]}"; do
  settings "$name" >"$dir/$name.ini"
  start "$name" "$bin/vbridged" serve --settings "$dir/$name.ini"
done
workers=() backends=()
for z in east west north; do
  for n in 1 2 3 4; do
    name=worker-$z$n
    workers+=("$name")
    start "$name" "$bin/vbstand" worker --name "$name" --zone "$z-a" --rack "r$(((n + 1) / 2))" \
      --entries "$(entries_of "$z")" --cpu 8000 --memory 16384 --accel 2 --seed 1 --times 1 --journal "$dir/$name.jsonl"
  done
  for n in 1 2; do
    name=server-$z$n
    backends+=("$name")
    start "$name" "$bin/vbstand" backend --name "$name" --zone "$z-a" --service web \
      --entries "$(entries_of "$z")" --time 50ms --journal "$dir/$name.jsonl"
  done
done

"$bin/vbstand" ready "${targets[@]}" --limit 20s
start watch "$bin/vbstand" watch "${targets[@]}" --journal "$dir/watch.jsonl"
"$bin/vbstand" metrics "${targets[@]}" --dir "$dir" --label begin

log "submitting a configuration"
"$bin/demo" --mark mark-a >"$dir/config.ini"
version=$("$bin/vbstand" submit "$dir/config.ini" --entries "$all" --key demo-a --mark mark-a --journal "$dir/operator.jsonl")
accepted=$(now)
log "version $version accepted"
if "$bin/vbstand" submit "$dir/config.ini" --entries "$all" --key demo-b --journal "$dir/operator.jsonl" 2>/dev/null; then
  log "a second submission of version $version was accepted"
  exit 1
fi

log "running a service, a batch and a gang"
start jobs "$bin/vbstand" await web/east-a web/west-a web/north-a report/a train/a --entries "$all" --accepted "$accepted" \
  --limit 25s --journal "$dir/operator.jsonl"

# call starts a load generator in the background.
call() { # phase, name of the caller, arguments...
  local phase=$1 name=$2
  shift 2
  start "$phase" "$bin/vbstand" caller --service web --entries "$all" --name "$name" --phase "$phase" \
    --journal "$dir/caller-$phase.jsonl" "$@"
}

# finish waits for processes that exit by themselves.
finish() { # name...
  local name
  for name in "$@"; do
    wait "${pids[$name]}"
    unset "pids[$name]"
  done
}

log "sending requests"
call base portal --count 400 --rate 100 --workers 32 --seed 1
finish base
for class in low urgent; do
  log "sending requests during a flood of class $class"
  call "$class-flood" crowd --mix "$class=1" --once 0 --resends 0 \
    --count 15000 --rate 3000 --workers 300 --time 5s --deadline 300ms --seed 2
  sleep 0.5 # the flood offers three times the capacity of the servers and lasts longer than the measured load
  call "$class" portal --count 400 --rate 100 --workers 32 --seed 1
  finish "$class" "$class-flood"
done

log "stopping an instance and a backend server under load"
call leave portal --count 450 --rate 75 --workers 32 --seed 3
sleep 1
stop north2 server-east1
finish leave jobs
cat "$dir/jobs.out"

log "stopping everything"
left=("${targets[@]/north2=*/}")
"$bin/vbstand" metrics ${left[@]} --dir "$dir" --label end
stop watch
stop "${workers[@]}" "${backends[@]/server-east1/}" || exit 1
stop "${instances[@]/north2/}"

"$bin/vbstand" report "$dir"
log "done in $SECONDS s"
