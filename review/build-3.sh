#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3/,
# with the project's stand-ins that they use. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build target --target comfreypaddle test_support -j6
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -g -Isrc -Itests -Istandins -I. -isystem src/gen \
    -isystem /usr/include/jsoncpp "$source" -o "target/review-3/case-$number" \
    target/libtest_support.a target/libstandin_common.a target/libcore.a \
    target/libschema.a target/librpc.a -lprotobuf -ljsonrpccpp-server \
    -ljsonrpccpp-client -ljsonrpccpp-common -ljsoncpp -lACE -lmicrohttpd \
    -lcurl -lgflags -lglog -linih -lxxhash -lcrypto -lpthread
done
