# Requests sent ahead, or bodies in small pieces, at the product's own interface for callers or for operators take all of a VM's
# processor time: searches and readiness are late.
. tests/lib.sh
site_start brodnica || fail "the site does not start"
MEMORY_MB=256 # if the settings say nothing
peak_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${VM_PID[${VMS[0]}]}/status"; }
SEARCH=/v1/services/checklist-board/search
# play LABEL PORT [arguments of the crowd]: searches and probes beside 400 clients.
play() {
	local label=$1 port=$2 end out asked=0
	shift 2
	"$BUILD/standin-crowd" --port "$port" --connections 400 --seconds 4 --body 65536 "$@" >"$RUN/crowd" &
	PIDS+=($!)
	sleep 0.5
	end=$(($(date +%s%3N) + 2500))
	while [ "$(date +%s%3N)" -lt $end ]; do
		asked=$((asked + 1))
		out=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST -d '{"text":"a"}' "http://127.0.0.1:$CALLERS_FROM$SEARCH")
		[ "$out" = 200 ] || fail "$label: search $asked: $out"
		out=$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$ADMINS_FROM/readyz")
		[ "$out" = 200 ] || fail "$label: readiness: $out"
		[ "$(peak_mb)" -le $MEMORY_MB ] || fail "$label: $(peak_mb) MB of $MEMORY_MB" # this ends the VM
	done
	wait $!
	echo "$label: $asked searches, peak $(peak_mb) MB"
}
for kind in ahead ahead-read; do
	play "$kind, searches" "$CALLERS_FROM" --kind $kind --path $SEARCH --method GET
	play "$kind, no route" "$CALLERS_FROM" --kind $kind --path /none --method GET
	play "$kind, readiness" "$ADMINS_FROM" --kind $kind --path /readyz --method GET
done
play "chunks, searches" "$CALLERS_FROM" --kind chunks --path $SEARCH
play "chunks, readiness" "$ADMINS_FROM" --kind chunks --path /readyz
[ "$(peak_mb)" -le $MEMORY_MB ] || fail "$(peak_mb) MB of $MEMORY_MB"
