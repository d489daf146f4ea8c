#!/usr/bin/env bash
# Runs a small fleet of the built commands on loopback addresses: a stand-in
# platform, four endpoints in two regions and three entry instances. Sends
# requests to the instances listed in the entries response, promotes another
# generation, withdraws a key and stops all instances gracefully. On success the
# last line begins with "demo: ok" and gives counts.
set -euo pipefail
cd "$(dirname "$0")/.."

demo=demo
. scripts/demo-lib.sh

ctl() { bin/cardamomctl "$@"; }

# field NAME prints the first field of this name in the JSON on standard input.
field() {
	local all
	all=$(sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\).*/\1/p")
	echo "${all%%$'\n'*}"
}

# until_ok COMMAND... retries a command until it succeeds, at most 600 times.
until_ok() {
	for _ in $(seq 600); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	fail "gave up after 600 attempts: $*"
}

platform=127.0.0.1:17700
flags=(--platform "http://$platform" --environment demo --operator demo)
domains=(kano-a kano-b kaduna-a kaduna-b)
instances=()

spawn platform bin/cardamomctl serve platform --listen $platform
endpoints=""
for n in 0 1 2 3; do
	address=127.0.0.2:$((17710 + n))
	spawn "endpoint-$n" bin/cardamomctl serve endpoint --listen $address --name "endpoint-$n"
	endpoints+="          - {address: \"$address\", failureDomain: ${domains[$n]}, slots: 8}"$'\n'
done

cat >"$dir/document.yaml" <<EOF
environment: demo
teams:
  - {name: mosque-office, rate: 200/s, burst: 400}
  - {name: ward-01, rate: 20/s, burst: 60}
regions:
  - {name: kano, failureDomains: [kano-a, kano-b]}
  - {name: kaduna, failureDomains: [kaduna-a, kaduna-b]}
services:
  - name: tracker
    serving: v1
    versions:
      - name: v1
        endpoints:
$endpoints
routes:
  - {name: read, path: /tracker/, methods: [GET], service: tracker, idempotent: true, timeout: 2s}
  - {name: hours, path: /hours, methods: [GET], service: tracker, open: true, idempotent: true}
entries: {homes: 2, lifetime: 1s}
EOF
bin/cardamomctl check "$dir/document.yaml" >/dev/null
until_ok ctl promote "$dir/document.yaml" --expect 0 "${flags[@]}"

for n in 0 1 2; do
	ip=127.0.0.$((11 + n))
	cat >"$dir/instance-$n.yaml" <<EOF
environment: demo
region: ${domains[$n]%-*}
failureDomain: ${domains[$n]}
callers: {listen: "$ip:17780", url: "http://$ip:17780"}
peers: {listen: "$ip:17781", relay: "$ip:17783"}
operators: {listen: "$ip:17782"}
platform: {url: "http://$platform", region: kano}
stop: {announce: 2s, drain: 30s}
EOF
	bin/cardamomfront --settings "$dir/instance-$n.yaml" --check >/dev/null
	spawn "instance-$n" bin/cardamomfront --settings "$dir/instance-$n.yaml"
	instances+=("$ip")
done

# serves IP KEYFILE succeeds if the instance serves a request with the key.
serves() {
	local status
	status=$(ctl request --direct --entry "http://$1:17780" --key-file "$2" GET /tracker/mats | field status)
	[ "$status" = 200 ]
}
open_route() { [ "$(ctl request --direct --entry "http://$1:17780" GET /hours | field status)" = 200 ]; }
for ip in "${instances[@]}"; do until_ok open_route "$ip"; done

ctl key add ward-01 ward-01-a "${flags[@]}" --output json >"$dir/key.json"
field key <"$dir/key.json" >"$dir/key"
[ -s "$dir/key" ] || fail "key add printed no key"

answers=""
for n in $(seq 20); do
	out=$(ctl request --entry "http://${instances[0]}:17780" --key-file "$dir/key" GET "/tracker/mats/$n")
	[ "$(field status <<<"$out")" = 200 ] || fail "request $n: $out"
	answers+=$out
	requests=$((requests + 1))
done
for ip in "${instances[@]}"; do
	serves "$ip" "$dir/key" || fail "$ip does not serve the new key"
	requests=$((requests + 1))
done
if grep -q "$(cat "$dir/key")" <<<"$answers"; then fail "an endpoint received the key"; fi
if grep -q "$(cat "$dir/key")" "$dir"/*.log; then fail "a log contains the key"; fi

ctl show "${flags[@]}" >"$dir/second.yaml"
sed -i 's/timeout: 2s/timeout: 3s/' "$dir/second.yaml"
ctl promote "$dir/second.yaml" --expect 2 "${flags[@]}" >/dev/null || fail "the second document was not promoted"
if ctl promote "$dir/second.yaml" --expect 2 "${flags[@]}" 2>/dev/null >&2; then fail "a promotion with an outdated generation was accepted"; fi
ctl status "${flags[@]}" --output json >"$dir/status.json"
[ "$(grep -o '"generation": *3' "$dir/status.json" | wc -l)" -ge 4 ] || fail "generation 3 is not in force at all instances: $(cat "$dir/status.json")"

ctl key withdraw ward-01-a "${flags[@]}" >/dev/null || fail "the key was not withdrawn at all instances"
for ip in "${instances[@]}"; do
	if serves "$ip" "$dir/key"; then fail "$ip serves a withdrawn key"; fi
done

for n in 0 1 2; do
	pid=${pids[$((5 + n))]}
	kill -TERM "$pid"
done
for n in 0 1 2; do
	wait "${pids[$((5 + n))]}" || fail "instance $n did not stop gracefully"
done
if grep -h "were cut" "$dir"/instance-*.log; then fail "a request was interrupted by the stop"; fi
echo "demo: ok ($requests requests, 4 generations, ${#instances[@]} instances, 4 endpoints, 1 key withdrawn)"
