#!/usr/bin/env bash
# Runs three gateways on loopback addresses against the stand-in of the users'
# platform. Queries the directory, sends requests, traces a refused request by
# its id through the logs, and stops a gateway gracefully. On success the last
# line begins with "demo-platform: ok" and gives counts.
set -euo pipefail
cd "$(dirname "$0")/.."

demo=demo-platform
. scripts/demo-lib.sh

# settings N ZONE writes the settings file of gateway N.
settings() {
	cat >"$dir/g$1.yaml" <<YAML
name: g$1
region: ${2%-*}
failureDomain: $2
failureDomains: {east-1: east, west-1: west}
listen:
  callers: "127.0.30.$1:17880"
  ready: "127.0.30.$1:17881"
  directory: "127.0.30.$1:17882"
  peers: "127.0.30.$1:17883"
  metrics: "127.0.30.$1:17884"
store: "127.0.30.9:17890"
lifetime: 2
grace: 3
retryRatio: 0.2
retrySlack: 50
log: {format: json}
YAML
}

# status URL HEADERS... sends a request and prints the response status. The body
# is written to the file body.
status() {
	local url=$1
	shift
	curl -s -o "$dir/body" -w '%{http_code}' "${@/#/-H}" "$url" || true
}

spawn store bin/cardamomctl serve store --listen 127.0.30.9:17890
for n in 1 2 3; do
	zone=east-1
	if [ "$n" = 3 ]; then zone=west-1; fi
	settings "$n" "$zone"
	bin/cardamomfront gateway --settings "$dir/g$n.yaml" --check >/dev/null || fail "gateway $n: invalid settings"
	spawn "g$n" bin/cardamomfront gateway --settings "$dir/g$n.yaml"
done
for n in 1 2 3; do
	for _ in $(seq 100); do
		[ "$(status "http://127.0.30.$n:17881/readyz")" = 200 ] && break
		sleep 0.1
	done
	[ "$(status "http://127.0.30.$n:17881/readyz")" = 200 ] || fail "gateway $n is not ready"
done

key=$(sed -n 's/.*key //p' "$dir/store.log")
for _ in $(seq 50); do
	[ "$(status 'http://127.0.30.3:17882/resolve?name=app.example&region=east&zone=east-1')" = 200 ] || fail "directory query failed"
	if [ "$(grep -o '127.0.30' "$dir/body" | wc -l)" = 2 ]; then break; fi
	sleep 0.1
done
[ "$(grep -o '127.0.30' "$dir/body" | wc -l)" = 2 ] || fail "want 2 gateways from the directory, got $(cat "$dir/body")"
for n in $(seq 30); do
	got=$(status "http://127.0.30.$((n % 3 + 1)):17880/status/$n" "Host: app.example" "Request-Id: demo-$n" "Affinity-Key: $((n % 5))" "Authorization: Token $key")
	[ "$got" = 200 ] || fail "request $n: status $got, want 200"
	requests=$((requests + 1))
done
got=$(status http://127.0.30.1:17880/status/x "Host: app.example" "Request-Id: demo-bad" "Authorization: Token no-key")
[ "$got" = 401 ] || fail "request with an unknown key: status $got, want 401"
for _ in $(seq 50); do
	bin/cardamomctl trace demo-bad "$dir"/g*.log >"$dir/trace"
	grep -q "no such route or key" "$dir/trace" && break
	sleep 0.1
done
grep -q "no such route or key" "$dir/trace" || fail "trace: $(cat "$dir/trace")"
grep -q "$key" "$dir"/g*.log && fail "a log contains the key"
bin/cardamomctl fleet status --settings "$dir/g1.yaml" >"$dir/status"
grep -q "^Catalog .* teams" "$dir/status" || fail "fleet status: $(cat "$dir/status")"
bin/cardamomctl fleet explain app.example/status/7 --key no-key --settings "$dir/g1.yaml" | has "401, unknown-key" || fail "fleet explain does not report the unknown key"
curl -s http://127.0.30.1:17884/metrics | has cardamomfront_gateway_answers_total || fail "metric cardamomfront_gateway_answers_total is missing"
kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "gateway 1 did not stop gracefully"
grep -q '"Stopped."' "$dir/g1.log" || fail "gateway 1 did not log that it stopped"
echo "demo-platform: ok ($requests requests, 3 gateways, 4 endpoints, 1 request traced)"
