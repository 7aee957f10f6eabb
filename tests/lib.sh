# Sourced by the system tests. Each test has its own site, which is stopped when the test exits.
set -u
RUN=$(mktemp -d)
PORT_BASE=${PORT_BASE:-12000}
. scripts/site.sh
trap 'site_stop; rm -rf "$RUN"' EXIT
# Prints a message and fails the test. If KEEP_LOGS names a directory, the logs are copied to it.
fail() {
	echo "check failed: $*"
	[ -z "${KEEP_LOGS:-}" ] || { mkdir -p "$KEEP_LOGS" && cp -r "$RUN" "$KEEP_LOGS/"; }
	exit 1
}

# Prints the target arguments of the load generator for every VM of the site.
all_targets() {
	local i
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		printf -- '-t 127.0.0.1:%d:%d ' $((CALLERS_FROM + i)) $((ADMINS_FROM + i))
	done
}

# expect STATUS TYPE [curl arguments]: sends a request that must be rejected with this status and problem type, as not run.
expect() {
	local status=$1 type=$2 out
	shift 2
	out=$(curl -s -m 8 -w '\n%{http_code}' "$@")
	[ "${out##*$'\n'}" = "$status" ] || fail "expected status $status, got: $out ($*)"
	jq -e --arg t "$type" '.type == $t and .ran == "no"' <<<"${out%$'\n'*}" >/dev/null ||
		fail "expected type $type and ran=no, got: $out ($*)"
}
