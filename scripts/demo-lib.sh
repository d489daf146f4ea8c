# Functions shared by the demo scripts: a temporary folder for settings and
# logs, background processes that are stopped when the script exits, and
# reporting of failures. The script sets $demo to its name.
# shellcheck shell=bash
dir=$(mktemp -d)
pids=()
requests=0

# finish ends the remaining processes, prints the end of the logs after a failure
# and removes the temporary folder. It waits, so that their addresses are free for
# the next run.
finish() {
	code=$?
	for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$code" -ne 0 ]; then
		tail -n 20 "$dir"/*.log >&2 || true
		echo "$demo: failed" >&2
	fi
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT

# has PATTERN reads all of standard input and succeeds if a line matches. A grep -q
# in its place ends at the first match, and what writes to it then fails.
has() {
	local text
	text=$(cat)
	grep -q -- "$1" <<<"$text"
}

fail() { echo "$demo: $*" >&2; exit 1; }

# spawn NAME COMMAND... runs a command in the background and writes its output to
# NAME.log.
spawn() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}
