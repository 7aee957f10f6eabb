#!/usr/bin/env bash
# Fuzzes the parsers of untrusted input with libFuzzer, for SECONDS each; with SEED, the same inputs each time.
# Usage: scripts/fuzz.sh SECONDS [SEED]
set -eu
cd "$(dirname "$0")/.."
SECONDS_EACH=${1:-30} SEED=${2:-0}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
# shellcheck disable=SC2046
clang -g -O1 -w -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -Isrc -Iplatform -o "$WORK/fuzz" \
	tests/fuzz.c src/core/*.c src/queries/search.c src/commands/action.c src/commands/propose.c platform/store.c platform/headers.c \
	src/net/http_message.c src/net/http_exchange.c src/net/http_memory.c $(pkg-config --cflags --libs glib-2.0 jansson libxxhash msgpack) -lhttp_parser -lm
failed=0
for target in reply health search config frame page feed hop replies endless; do
	mkdir -p "$WORK/$target"
	[ ! -d "tests/corpus/$target" ] || cp "tests/corpus/$target"/* "$WORK/$target"
	if FUZZ_TARGET=$target "$WORK/fuzz" -seed="$SEED" -max_total_time="$SECONDS_EACH" -max_len=4096 -print_final_stats=0 \
		-artifact_prefix="$WORK/" "$WORK/$target" >"$WORK/out" 2>&1; then
		echo "fuzz $target: $(grep '^Done' "$WORK/out")"
	else
		failed=1
		echo "fuzz $target: FAILED"
		grep -E '^(SUMMARY|Base64|.*ERROR|    #[0-9])' "$WORK/out" | head -n 20
	fi
done
exit $failed
