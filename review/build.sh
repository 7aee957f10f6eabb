#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin/, with the packages of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=gnu11 -O2 -Wall -Wextra -Istandins $(pkg-config --cflags jansson)"
# shellcheck disable=SC2086
gcc $flags -o bin/platform standins/platform.c standins/peer.c $(pkg-config --libs jansson) -pthread
# shellcheck disable=SC2086
gcc $flags -o bin/client standins/client.c standins/peer.c -pthread
