# Invalid settings: all errors are reported in one run, each with file, line and the valid values, and --check exits
# with 2. With valid settings it exits with 0.
. tests/lib.sh
site_describe brodnica
vm_settings 0
file=$RUN/zagreb-1.ini
"$BUILD/dogwoodsaddled" --config "$file" --check || fail "--check fails with valid settings"
sed -i 's/^callers_port.*/callers_port = 70000/; s/^data_centre.*/data_centre = Zagreb!/; s/^hedge/hegde/; s/^token.*/token = short/' "$file"
echo '[nonsense]' >>"$file"
"$BUILD/dogwoodsaddled" --config "$file" --check 2>"$RUN/err"
[ $? = 2 ] || fail "--check does not exit with 2 for invalid settings"
sed "s|$file|FILE|" "$RUN/err" | sort >"$RUN/got"
sort >"$RUN/wanted" <<'EXPECTED'
FILE:3: [vm] data_centre: must be 1 to 63 of a-z, 0-9 and '-'
FILE:6: [listen] callers_port: must be a whole number from 1 to 65535, not "70000"
FILE:13: [operators] token: must be a secret of at least 16 characters
FILE:20: [policy] hegde: unknown key
FILE:23: [nonsense] : unknown section; known are vm, listen, platform, operators, peers, front, regions, retries, quotas, admission, store, stop, log and policy
EXPECTED
diff "$RUN/wanted" "$RUN/got" || fail "--check reports other errors"
"$BUILD/dogwoodsaddled" --config /nonexistent --check 2>/dev/null
[ $? = 2 ] || fail "--check does not exit with 2 for a missing file"
"$BUILD/dogwoodsaddled" --version | grep -q '^dogwoodsaddled [0-9]' || fail "--version does not print the version"
