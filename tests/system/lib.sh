# Sourced by the system tests: a site of their own, ended when the test ends.
set -u
RUN=$(mktemp -d)
PORT_BASE=${PORT_BASE:-30000}
. scripts/site.sh
trap 'site_stop; rm -rf "$RUN"' EXIT
bad() { echo "WRONG: $*"; exit 1; }

# The load tool's arguments that name every VM of the site.
all_targets() {
	local i
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		printf -- '-t 127.0.0.1:%d:%d ' $((CALLERS_FROM + i)) $((ADMINS_FROM + i))
	done
}
