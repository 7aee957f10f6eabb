#!/usr/bin/env bash
# Runs the tests that start no processes. Their results depend on their inputs and seeds only.
set -eu
cd "$(dirname "$0")/.."
"$BUILD/script_test"
"$BUILD/pages_test"
"$BUILD/message_test"
"$BUILD/http_memory_test"
"$BUILD/parts_test"
"$BUILD/platform_test"
"$BUILD/forward_test"
"$BUILD/link_test"
"$BUILD/poison_test"
"$BUILD/store_sync_test"
"$BUILD/member_sync_test"
"$BUILD/settings_test"
"$BUILD/log_test"
"$BUILD/front_metrics_test"
"$BUILD/handover_test"
"$BUILD/fleet_test"
"$BUILD/hop_message_test"
"$BUILD/quota_test"
"$BUILD/admission_test"
"$BUILD/send_limit_test"
tests/known-red.sh overload_pauses "$BUILD/send_limit_test" pauses
"$BUILD/gossip_test"
"$BUILD/random_test" "${SEEDS:-250}"
"$BUILD/matrix_test"
"$BUILD/load_test"
tests/known-red.sh overload_test "$BUILD/overload_test" small
"$BUILD/front_random_test" "${SEEDS:-250}"
"$BUILD/front_fleet_test" "${SEEDS:-250}"
"$BUILD/front_matrix_test"
tests/mutants.sh
