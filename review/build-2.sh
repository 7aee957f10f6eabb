#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and later, into build-review-2/: the project's own stand-in for
# the users' platform, and the callers in standins-2/. Needs the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
OUT=build-review-2
cmake -S . -B $OUT -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build $OUT --target standin-users-platform -j8 >/dev/null
cc -std=gnu11 -O1 -Wall -Wextra -Werror -o $OUT/caller review/standins-2/caller.c -pthread
