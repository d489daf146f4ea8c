# Shared by the demonstrations: a folder for settings and logs, processes that
# are ended when the script is, and a verdict. $demo names the demonstration.
# shellcheck shell=bash
dir=$(mktemp -d)
pids=()
requests=0

# finish ends what is left and shows logs after a failure.
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

# spawn NAME COMMAND... runs a command in the background with a log.
spawn() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}
