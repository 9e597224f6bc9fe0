#!/usr/bin/env bash
# Sets up, builds, starts three engines, the platform, two plain services and two nodes on loopback,
# sends a streamed and a whole request, a service call and a booking (twice, under one key), prints
# what the caller got and the decision lines, and stops all gracefully. Exits 0 only if every answer was whole and every stop clean.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
tools/setup.sh
# Only what is started below; the tests would take most of the time.
echo "demo: building the node and its stand-ins in $build"
tools/build.sh --target vanilladyke standin_engine standin_service standin_platform \
    || { echo "demo: the build failed" >&2; exit 1; }

work=$(mktemp -d)
declare -A pids=()
failures=0

fail() {
    echo "demo: $*" >&2
    failures=$((failures + 1))
}

# Ends what is left if the demo breaks off; a whole run has stopped everything by then.
cleanup() {
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

stop() { # NAME: the process must end by itself and cleanly
    local code=0
    kill -TERM "${pids[$1]}"
    wait "${pids[$1]}" || code=$?
    unset "pids[$1]"
    ((code == 0)) || fail "$1 ended with $code"
}

wait_for() { # URL
    local i
    for ((i = 0; i < 300; i++)); do
        curl -sf -o "$work/probe" "$1" && return
        sleep 0.1
    done
    fail "no answer from $1"
    exit 1
}

mapfile -t port < <(python3 -c '
import random, socket
ports = []
while len(ports) < 11:
    port = random.SystemRandom().randrange(10000, 32000)
    try:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
        ports.append(port)
    except OSError:
        pass
print(*ports, sep="\n")')

key=brand-key
digest=$(python3 -c "import hashlib; print(hashlib.blake2b(b'$key', digest_size=32).hexdigest())")
cat >"$work/bundle.jsonc" <<JSON
{
    // One model on three engines, one customer, one plain service.
    "version": 1,
    "models": [{ "id": "copy", "weights": "w1" }],
    "customers": [{ "id": "brand", "key_digests": ["$digest"] }],
    "engines": [
        { "id": "copy-1", "endpoint": "127.0.0.1:${port[0]}", "data_centre": "ikeja-hall", "models": ["copy"] },
        { "id": "copy-2", "endpoint": "127.0.0.1:${port[1]}", "data_centre": "lekki-hall", "models": ["copy"] },
        { "id": "copy-3", "endpoint": "127.0.0.1:${port[2]}", "data_centre": "yaba-hall", "models": ["copy"] }
    ],
    "services": [
        { "id": "tags", "backends": ["127.0.0.1:${port[3]}"], "repeatable": true },
        { "id": "booking", "backends": ["127.0.0.1:${port[8]}"] }
    ]
}
JSON

for i in 1 2 3; do
    start "copy-$i" "$build/tests/standin_engine" --port "${port[i - 1]}" --id "copy-$i"
    wait_for "http://127.0.0.1:${port[i - 1]}/v1/state"
done
start tags "$build/tests/standin_service" --port "${port[3]}"
wait_for "http://127.0.0.1:${port[3]}/control/log"
start booking "$build/tests/standin_service" --port "${port[8]}"
wait_for "http://127.0.0.1:${port[8]}/control/log"
start platform "$build/tests/standin_platform" --port "${port[9]}" --control "${port[10]}"
wait_for "http://127.0.0.1:${port[9]}/v1/hosts"

signer=$("$build/vanilladyke" keys new --kind signing "$work/ana.sign")
operator=$("$build/vanilladyke" keys new --kind bearer "$work/ana.bearer")

echo "== a signed bundle"
"$build/vanilladyke" bundle sign "$work/bundle.jsonc" --key "$work/ana.sign" --out "$work/bundle.signed"

for i in 1 2; do
    cat >"$work/node-$i.jsonc" <<JSON
{
    "node": "node-$i",
    "data_centre": "yaba-hall",
    "callers": "127.0.0.1:${port[2 + 2 * i]}",
    "operators": "127.0.0.1:${port[3 + 2 * i]}",
    "balancer_lag_ms": 300,
    "platform": { "log": "127.0.0.1:${port[9]}", "hosts": "127.0.0.1:${port[9]}" },
    "trusted_signers": ["$signer"],
    "operator_keys": [{ "id": "ana", "digest": "$operator" }]
}
JSON
    start "node-$i" "$build/vanilladyke" serve --settings "$work/node-$i.jsonc"
    if ((i == 1)); then
        wait_for "http://127.0.0.1:${port[5]}/healthz"
        for ((n = 0; n < 100; n++)); do
            "$build/vanilladyke" bundle publish "$work/bundle.signed" --node "127.0.0.1:${port[5]}" \
                --operator-key "$work/ana.bearer" && break
            sleep 0.1
        done
    fi
    wait_for "http://127.0.0.1:${port[2 + 2 * i]}/readyz"
    for ((n = 0; n < 100; n++)); do
        (($(grep -c event=engine_up "$work/node-$i.log") >= 3)) && break
        sleep 0.1
    done
done

ask() { # PORT PATH BODY [HEADER]
    curl -sS --max-time 30 -H "${4:-Accept: */*}" -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
        "http://127.0.0.1:$1$2" -d "$3"
}

messages='[{"role": "user", "content": "Copy for the bus shelter at Allen Avenue."}]'

echo "== a streamed answer from node-1"
ask "${port[4]}" /v1/chat/completions \
    "{\"model\": \"copy\", \"stream\": true, \"max_tokens\": 12, \"messages\": $messages}" >"$work/stream"
streamed=$(sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$work/stream" | tr -d '\n')
echo "$streamed"
grep -q '^data: \[DONE\]' "$work/stream" || fail "the stream has no end marker"
(($(wc -w <<<"$streamed") == 12)) || fail "the stream is not whole"

echo "== the whole answer from node-2"
ask "${port[6]}" /v1/chat/completions \
    "{\"model\": \"copy\", \"max_tokens\": 12, \"messages\": $messages}" >"$work/whole"
cat "$work/whole"
echo
whole=$(sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$work/whole")
[[ "$whole" == "$streamed" ]] || fail "the whole answer differs from the streamed one"

echo "== a call to the plain service"
ask "${port[6]}" /services/tags/photos '{"photo": 7}' >"$work/service"
cat "$work/service"
echo
grep -q '"path":"/photos"' "$work/service" || fail "the service did not answer"

echo "== a booking at node-1, and the same key again at node-2"
idempotency_key=$(python3 -c '
import random, time, uuid
print(uuid.UUID(int=int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62 | random.getrandbits(62)))')
for i in 4 6; do
    ask "${port[i]}" /services/booking/shelter-7 '{"from": "Monday"}' "Idempotency-Key: $idempotency_key" \
        >"$work/booking-$i"
    cat "$work/booking-$i"
    echo
done
grep -q '"run":1' "$work/booking-4" || fail "the booking was not answered"
cmp -s "$work/booking-4" "$work/booking-6" || fail "the second answer differs from the first"
curl -sS "http://127.0.0.1:${port[8]}/control/log" >"$work/runs"
(($(grep -o "$idempotency_key" "$work/runs" | sort -u | wc -l) == 1)) || fail "the booking did not run"

for name in node-1 node-2 copy-1 copy-2 copy-3 tags booking; do
    stop "$name"
done
# The platform's stand-in keeps nothing and has no shutdown of its own.
kill -TERM "${pids[platform]}"
wait "${pids[platform]}" || true
unset "pids[platform]"

echo "== decisions"
grep -h -e event=placement -e event=service_call -e event=claim "$work"/node-*.log

((failures == 0)) && echo "== every answer was whole and every stop clean"
exit $((failures > 0))
