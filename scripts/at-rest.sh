#!/usr/bin/env bash
# Measures the resource use of N instances without requests: processor time and
# network bytes of each instance, and platform calls of all instances together.
# Usage: scripts/at-rest.sh N [SECONDS [DOCUMENT]]
set -euo pipefail
cd "$(dirname "$0")/.."

n=${1:?number of instances}
seconds=${2:-20}
document=${3:-examples/kano.yaml}
dir=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$dir"' EXIT

platform=127.0.0.1:17600
domains=(kano-a kano-b kaduna-a kaduna-b sokoto-a sokoto-b)

spawn() { "$@" >>"$dir/log" 2>&1 & pids+=($!); }
page() { bin/cardamomctl request --direct --entry "http://$1" GET "$2" 2>/dev/null; }
until_ok() { for _ in $(seq 600); do if "$@" >/dev/null 2>&1; then return 0; fi; sleep 0.1; done; echo "gave up after 600 attempts: $*" >&2; exit 1; }
ready() { [[ $(page "$1" /ready) == *'"status":200'* ]]; }

spawn bin/cardamomctl serve platform --listen $platform
sed 's/^environment: .*/environment: rest/' "$document" >"$dir/document.yaml"
until_ok bin/cardamomctl promote "$dir/document.yaml" --expect 0 --platform "http://$platform" --environment rest --operator rest

first=${#pids[@]}
for i in $(seq 0 $((n - 1))); do
	ip=127.0.1.$((i + 1))
	domain=${domains[$((i % 6))]}
	cat >"$dir/$i.yaml" <<EOF
environment: rest
region: ${domain%-*}
failureDomain: $domain
callers: {listen: "$ip:17680", url: "http://$ip:17680"}
peers: {listen: "$ip:17681", relay: "$ip:17683"}
operators: {listen: "$ip:17682"}
platform: {url: "http://$platform", region: kano}
EOF
	spawn bin/cardamomfront --settings "$dir/$i.yaml"
done
for i in $(seq 0 $((n - 1))); do until_ok ready "127.0.1.$((i + 1)):17682"; done
sleep 10

# ticks prints the total processor time of all instances in clock ticks.
ticks() { for pid in "${pids[@]:$first}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}'; }
# bytes DIRECTION PEER prints the bytes that all instances have sent to or
# received from platform or instance, by DIRECTION sent or received.
bytes() {
	for i in $(seq 0 $((n - 1))); do
		page "127.0.1.$((i + 1)):17682" /metrics | sed 's/\\n/\n/g' |
			grep "^cardamomfront_traffic_$1_bytes_total" | grep "peer=..$2" | sed 's/.* //'
	done | awk '{s += $1} END {printf "%d", s}'
}
calls() { page $platform /standin/counts | sed 's/\\//g' | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }

# Serving the metrics pages takes processor time, so the ticks are read after the
# first snapshot and before the second.
snapshot() { echo "$(bytes sent platform) $(bytes received platform) $(bytes sent instance) $(bytes received instance) $(calls reads) $(calls writes)"; }
before=$(snapshot)
ticks_before=$(ticks)
sleep "$seconds"
ticks_after=$(ticks)
after=$(snapshot)
echo "$ticks_before $before $ticks_after $after" | awk -v n="$n" -v s="$seconds" -v hz="$(getconf CLK_TCK)" '{
	printf "instances %d: processor %.2f %% of a core each; bytes/s each: to platform %.0f, from platform %.0f, to instances %.0f, from instances %.0f; platform calls/s of all: %.1f reads, %.1f writes\n",
		n, 100 * ($8 - $1) / hz / s / n, ($9 - $2) / s / n, ($10 - $3) / s / n, ($11 - $4) / s / n, ($12 - $5) / s / n, ($13 - $6) / s, ($14 - $7) / s }'
