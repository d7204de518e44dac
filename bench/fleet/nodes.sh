# Starts real nodes beside the stand-in platform on loopback; sourced by the
# scripts of this folder from the root of the tree. Sets platform (its
# address), http[N] and node_pid[N] for N from 1.
bin=build/release/bin
work=$(mktemp -d)
zones=3
pids=()
trap 'stop_nodes; rm -rf "$work"' EXIT

# nap SECONDS: waits without a process of its own.
nap() {
    read -rt "$1" <> <(:) || true
}

# start NAME COMMAND...: runs it with its output in a file, keeps its id.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
}

# address NAME KEY: waits for KEY=IP:PORT in the first line of the output.
address() {
    local line=
    for _ in $(seq 400); do
        line=$(grep -o "$2[^ ]*" "$work/$1.out" 2>/dev/null | head -1 || true)
        [ -n "$line" ] && break
        nap 0.05
    done
    [ -n "$line" ] || { echo "$1 did not start" >&2; cat "$work/$1.err" >&2; exit 1; }
    echo "${line#"$2"}"
}

# metric FILE NAME: the sum of the series whose name starts with NAME.
metric() {
    awk -v name="$2" 'index($0, name) == 1 { sum += $2 } END { printf "%.0f", sum }' "$1"
}

# converged SIZE: waits until every node knows every other.
converged() {
    local number known
    for _ in $(seq 240); do
        known=0
        for number in $(seq "$1"); do
            curl -s "http://${http[$number]}/metrics" >"$work/metrics"
            [ "$(metric "$work/metrics" almondtiller_members)" = "$1" ] && known=$((known + 1))
        done
        [ "$known" = "$1" ] && return
        nap 0.25
    done
    echo "$1 nodes did not converge" >&2
    exit 1
}

# start_nodes SIZE: starts them and waits until they have converged.
start_nodes() {
    local number instances="" zone
    http=() node_pid=() pids=()
    start platform "$bin/fake_platform" --listen 127.0.0.1:0
    platform=$(address platform "listening ")
    curl -s -X PUT -H 'If-None-Match: *' "http://$platform/v1/objects/config/head" \
        -d '{"revision":1,"shards":[],"zones":{},"changes":[]}' >/dev/null
    for number in $(seq "$1"); do
        start "node$number" "$bin/almondtiller" --node-id "n$number" \
            --zone "z$((number % zones))" --listen 127.0.0.1:0 \
            --peer-listen 127.0.0.1:0 --platform "$platform" --max-connections 8
        node_pid[$number]=${pids[-1]}
    done
    for number in $(seq "$1"); do
        http[$number]=$(address "node$number" http=)
        zone=z$((number % zones))
        instances+="{\"id\":\"n$number\",\"role\":\"node\",\"zone\":\"$zone\",\"address\":\"${http[$number]}\",\"peer_address\":\"$(address "node$number" peers=)\",\"state\":\"live\"},"
    done
    curl -s -X POST "http://$platform/admin/instances" \
        -d "{\"instances\":[${instances%,}]}" >/dev/null
    converged "$1"
}

stop_nodes() {
    [ ${#pids[@]} -eq 0 ] && return
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    pids=()
}
