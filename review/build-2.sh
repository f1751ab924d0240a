#!/bin/sh
# Builds the stand-ins that the script of the second review starts. Run it after
# the build of the deploy file, whose libraries it links.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -DBOOST_ASIO_NO_DEPRECATED
-DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION
-DFMT_SHARED -I. -Ipackages -Itests"
libraries="target/platform/libwaxwingvalve_platform_adapter.a
target/packages/front/libwaxwingvalve_front.a
target/packages/decision/libwaxwingvalve_decision.a
target/packages/store/libwaxwingvalve_store.a
target/packages/net/libwaxwingvalve_net.a
target/packages/schema/libwaxwingvalve_schema.a
target/packages/base/libwaxwingvalve_base.a"
system="-lxxhash -lflatbuffers -lfmt -lnng -lboost_json -lboost_container
-lcrypto -lpthread"

objects=
# What the scene uses of the project's own stand-ins.
for source in \
    tests/soak/soak_accounts tests/soak/soak_client tests/soak/soak_daemon \
    tests/soak/soak_ledger tests/soak/soak_worker \
    tests/harness/process_figures tests/platform/fake_store \
    tests/stand_ins/endless_answer tests/stand_ins/link/relay; do
    object=$out/$(basename "$source").o
    # shellcheck disable=SC2086
    c++ $flags -c "$source.cpp" -o "$object"
    objects="$objects $object"
done
for scene in quota; do
    # shellcheck disable=SC2086
    c++ $flags "review/stand_ins_2/soak/soak_$scene.cpp" $objects \
        -Wl,--start-group $libraries -Wl,--end-group $system \
        -o "$out/$scene"
done
