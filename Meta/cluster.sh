# Starts the system and its stand-ins on loopback; to be sourced. stop_cluster
# kills every process started here by its process id.

BIN=build/Services/azurehaven/azurehaven
STANDIN=build/Tests/LibStandIn/azurehaven-standin
LOGS=$(mktemp -d)
PIDS=()
declare -A PID_OF

STORE=127.0.0.2:9000 VMS=127.0.0.3:9001 RATING=127.0.0.4:9002 WEIGHTS=127.0.0.5:9003
# Name, last octet of the loopback address, failure domain.
ENTRIES=("entry-1 11 a" "entry-2 12 b" "entry-3 13 c" "entry-4 14 d" "entry-5 15 a")
# Name, last octet, failure domain, versions, token ms, first token ms.
ENGINES=("engine-1 21 a scree@1 3 15" "engine-2 22 b scree@1,scree@2 3 15"
  "engine-3 23 c ridge@1 5 25" "engine-4 24 d ridge@1,ridge@2 5 25"
  "engine-5 25 a summit@1 8 40" "engine-6 26 b summit@1,summit@2 8 40")
# Name, last octet, failure domain, service.
SERVICES=("booking-1 31 a booking" "booking-2 32 b booking")

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$LOGS/$name.out" 2>"$LOGS/$name.log" &
  PIDS+=($!)
  PID_OF[$name]=$!
}

has_ended() { # NAME
  ! kill -0 "${PID_OF[$1]}" 2>/dev/null
}

# Prints the processes that have exited on their own, with their last output.
# Succeeds if there is one.
report_ended() {
  local name ended=1
  for name in "${!PID_OF[@]}"; do
    has_ended "$name" || continue
    ended=0
    echo "$name (process ${PID_OF[$name]}) has exited: $(tail -qn 1 "$LOGS/$name.log" "$LOGS/$name.out" 2>&1 | cut -c1-300)" >&2
  done
  return $ended
}

stop_cluster() {
  [ ${#PIDS[@]} -eq 0 ] || kill -KILL "${PIDS[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  PIDS=()
  PID_OF=()
}

write_vm_list() { # FILE
  {
    local first=1 line
    echo '['
    emit() { [ $first = 1 ] || echo ','; first=0; echo "$1"; }
    for line in "${ENTRIES[@]}"; do
      set -- $line
      emit "{\"vm\":\"$1\",\"kind\":\"entry\",\"domain\":\"$3\",\"address\":\"127.0.0.$2:8080\",\"peer\":\"127.0.0.$2:8082\"}"
    done
    for line in "${ENGINES[@]}"; do
      set -- $line
      emit "{\"vm\":\"$1\",\"kind\":\"engine\",\"domain\":\"$3\",\"address\":\"127.0.0.$2:9100\"}"
    done
    for line in "${SERVICES[@]}"; do
      set -- $line
      emit "{\"vm\":\"$1\",\"kind\":\"service\",\"domain\":\"$3\",\"address\":\"127.0.0.$2:9100\",\"service\":\"$4\"}"
    done
    echo ']'
  } >"$1"
}

wait_for() { # SECONDS COMMAND...
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if report_ended; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    if [ $SECONDS -ge $limit ]; then
      echo "gave up waiting for: $*" >&2
      report_unready
      return 1
    fi
    sleep 0.1
  done
}

start_stand_ins() {
  local line
  write_vm_list "$LOGS/vms.json"
  start store $STANDIN store --listen=$STORE
  start vms $STANDIN vms --listen=$VMS --file="$LOGS/vms.json"
  start rating $STANDIN rating --listen=$RATING
  start weights $STANDIN weights --listen=$WEIGHTS
  for line in "${ENGINES[@]}"; do
    set -- $line
    start "$1" $STANDIN engine --listen=127.0.0.$2:9100 --control=127.0.0.$2:9101 \
      --name="$1" --versions="$4" --token-ms="$5" --first-token-ms="$6" --weights=$WEIGHTS ${ENGINE_FLAGS:-}
  done
  for line in "${SERVICES[@]}"; do
    set -- $line
    start "$1" $STANDIN service --listen=127.0.0.$2:9100 --control=127.0.0.$2:9101 --name="$1"
  done
}

start_entry() { # NAME LAST_OCTET DOMAIN
  start "$1" $BIN entry --vm="$1" --domain="$3" --listen=127.0.0.$2:8080 \
    --operator-listen=127.0.0.$2:8081 --peer-listen=127.0.0.$2:8082 \
    --store=$STORE --vm-list=$VMS --rating-service=$RATING ${ENTRY_FLAGS:-}
}

start_entries() {
  local line
  for line in "${ENTRIES[@]}"; do
    set -- $line
    start_entry "$1" "$2" "$3"
  done
}

OPERATORS=127.0.0.11:8081,127.0.0.12:8081,127.0.0.13:8081,127.0.0.14:8081,127.0.0.15:8081
ctl() { $BIN ctl --operator=$OPERATORS --actor="${ACTOR:-meta}" "$@"; }

entries_ready() {
  local line
  for line in "${ENTRIES[@]}"; do
    set -- $line
    curl -sf "http://127.0.0.$2:8081/readyz" >/dev/null || return 1
  done
}

# Prints the entry processes that are not ready, with their /readyz response.
report_unready() {
  local line answer
  for line in "${ENTRIES[@]}"; do
    set -- $line
    answer=$(curl -s -m 2 "http://127.0.0.$2:8081/readyz" || echo "no answer")
    [ "$answer" = '{"ready":true}' ] ||
      echo "$1 (process ${PID_OF[$1]}, port 127.0.0.$2:8081) is not ready: $answer; last line: $(tail -qn 1 "$LOGS/$1.log" "$LOGS/$1.out" 2>&1 | cut -c1-300)" >&2
  done
}

roster_is_full() {
  [ "$(curl -s http://127.0.0.11:8081/v1/config | grep -o '"roster":\[[^]]*\]' | grep -o entry- | wc -l)" = ${#ENTRIES[@]} ]
}

start_cluster() {
  start_stand_ins
  start_entries
  wait_for 20 entries_ready
  ctl apply Meta/kairns.json >/dev/null
  ctl session-key rotate >/dev/null
  wait_for 30 roster_is_full
}
