#!/usr/bin/env bash
# Fuzzes the parsers of untrusted input with libFuzzer, for SECONDS each.
# Usage: scripts/fuzz.sh SECONDS
set -eu
cd "$(dirname "$0")/.."
SECONDS_EACH=${1:-30}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
# shellcheck disable=SC2046
clang -g -O1 -w -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -Isrc -Iplatform -o "$WORK/fuzz" \
	tests/fuzz.c src/core/*.c src/queries/search.c src/commands/action.c src/commands/propose.c platform/store.c \
	$(pkg-config --cflags --libs glib-2.0 jansson libxxhash msgpack) -lm
for target in reply health search config frame page feed hop; do
	echo "== $target"
	mkdir -p "$WORK/$target"
	[ -d "tests/corpus/$target" ] && cp "tests/corpus/$target"/* "$WORK/$target"
	FUZZ_TARGET=$target "$WORK/fuzz" -max_total_time="$SECONDS_EACH" -max_len=4096 -print_final_stats=0 \
		"$WORK/$target" 2>&1 | grep -E "^(Done|SUMMARY|Base64|.*ERROR)" | tail -n 3
done
