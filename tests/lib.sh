# Sourced by the system tests: a site of their own, ended when the test ends.
set -u
RUN=$(mktemp -d)
PORT_BASE=${PORT_BASE:-12000}
. scripts/site.sh
trap 'site_stop; rm -rf "$RUN"' EXIT
# A test that fails leaves its logs in KEEP_LOGS, if that names a folder.
bad() {
	echo "WRONG: $*"
	[ -z "${KEEP_LOGS:-}" ] || { mkdir -p "$KEEP_LOGS" && cp -r "$RUN" "$KEEP_LOGS/"; }
	exit 1
}

# The load tool's arguments that name every VM of the site.
all_targets() {
	local i
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		printf -- '-t 127.0.0.1:%d:%d ' $((CALLERS_FROM + i)) $((ADMINS_FROM + i))
	done
}

# A request that must be refused: status, problem type, then curl arguments. Nothing may have run.
expect() {
	local status=$1 type=$2 out
	shift 2
	out=$(curl -s -m 8 -w '\n%{http_code}' "$@")
	[ "${out##*$'\n'}" = "$status" ] || bad "wanted $status, got: $out ($*)"
	jq -e --arg t "$type" '.type == $t and .ran == "no"' <<<"${out%$'\n'*}" >/dev/null ||
		bad "wanted type $type and ran no, got: $out ($*)"
}
