# Functions shared by the demo scripts: a temporary folder for settings and
# logs, background processes that are stopped when the script exits, and
# reporting of failures. The script sets $demo to its name.
# shellcheck shell=bash
dir=$(mktemp -d)
pids=()
requests=0

# finish stops the remaining processes, prints the end of the logs after a
# failure and removes the temporary folder.
finish() {
	code=$?
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	if [ "$code" -ne 0 ]; then
		tail -n 20 "$dir"/*.log >&2 || true
		echo "$demo: failed" >&2
	fi
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT

fail() { echo "$demo: $*" >&2; exit 1; }

# spawn NAME COMMAND... runs a command in the background and writes its output to
# NAME.log.
spawn() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}
