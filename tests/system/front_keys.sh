# A caller's API key must not reach a searcher, whichever VM sends the request there, and a key that was taken away must
# stop working: a searcher's log would hold the keys of all tenants, and a key that leaked could not be revoked.
. tests/front_lib.sh
VMS=3
front_size() { [ "$1" = 0 ] && printf 'link_mbps = 100\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 1000\ncores = 1\ncore_share = 1.0\n'; }
fronts_start $VMS
has_gatherer() { curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" | grep -q 'dogwoodsaddle_gatherer{.*state="there"'; }
wait_until has_gatherer || fail "VM 0 has no gatherer"
key() { printf 'Dogwoodsaddle-Credential: key-%s' "$1"; }

users tenant mine 0 >/dev/null
users tenant other 0 >/dev/null
users configure '' 2 >/dev/null
wait_until all_configured 2 $VMS

# No key, an unknown one, an almost right one, two of them: 401, and nothing runs.
attempt 0 get.example /get/x
[ "$(status)" = 401 ] || fail "status $(status) instead of 401 without a key"
for wrong in none key-min key-mine2 KEY-MINE ''; do
	attempt 0 get.example /get/x -H "Dogwoodsaddle-Credential: $wrong"
	[ "$(status)" = 401 ] || fail "status $(status) instead of 401 with the key '$wrong'"
	attempt 0 find.example /find/x -H "Dogwoodsaddle-Credential: $wrong"
	[ "$(status)" = 401 ] || fail "status $(status) instead of 401 for a gather with the key '$wrong'"
done
attempt 0 get.example /get/x -H "$(key mine)" -H "$(key other)"
[ "$(status)" = 401 ] || fail "status $(status) instead of 401 with two keys"
[ "$(users none | jq '[.runs[]] | add')" = 0 ] || fail "a request without a valid key ran"

# The searcher gets the tenant's name, whatever the caller wrote there, and never the key: sent by the VM that took the
# request, and by another that gathers for it.
attempt 0 get.example /get/x -H "$(key mine)" -H 'dogwoodsaddle-tenant: other'
[ "$(status)" = 200 ] || fail "status $(status) with a key"
attempt 0 find.example /find/x -H "$(key mine)" -H 'Dogwoodsaddle-Tenant: other'
[ "$(status)" = 200 ] || fail "status $(status) for a gather with a key"
[ "$(metric dogwoodsaddle_handovers_total)" -ge 1 ] || fail "the gather was not handed over"
[ "$(users none | jq -c .tenants)" = '{"mine":4}' ] || fail "not the key's tenant: $(users none | jq -c .tenants)"
[ "$(users none | jq .untenanted)" = 0 ] || fail "a searcher got no tenant"

# A public route needs no key; a tenant's name that its caller wrote is dropped there too.
attempt 0 open.example /open/x -H 'Dogwoodsaddle-Tenant: other'
[ "$(status)" = 200 ] && [ "$(users none | jq .untenanted)" = 1 ] || fail "status $(status) on a public route, $(users none | jq -c .tenants)"
attempt 0 open.example /open/x -H 'Dogwoodsaddle-Credential: none'
[ "$(status)" = 200 ] || fail "status $(status) on a public route with an unknown key"
[ "$(users none | jq .leaked)" = 0 ] || fail "a searcher got a caller's key"

# After the key was taken away, no VM accepts it. The other tenant is served on.
users revoke mine >/dev/null
users configure '' 3 >/dev/null
wait_until all_configured 3 $VMS
for ((vm = 0; vm < VMS; vm++)); do
	attempt "$vm" get.example /get/x -H "$(key mine)"
	[ "$(status)" = 401 ] || fail "status $(status) instead of 401 at VM $vm after the key was taken away"
	attempt "$vm" find.example /find/x -H "$(key mine)"
	[ "$(status)" = 401 ] || fail "status $(status) instead of 401 for a gather at VM $vm after the key was taken away"
	attempt "$vm" get.example /get/x -H "$(key other)"
	[ "$(status)" = 200 ] || fail "status $(status) at VM $vm with the other key"
done
! grep -q 'key-\(mine\|other\)' "$RUN"/front-*.log || fail "a key is in a log: $(grep -h 'key-' "$RUN"/front-*.log | head -n 1)"
