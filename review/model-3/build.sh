#!/usr/bin/env bash
# Builds the model against the test build (cmake --preset default) into OUT.
set -euo pipefail
out=${1:?usage: build.sh OUT}
cd "$(dirname "$0")/../.."
g++ -std=c++20 -O2 -I. -Isrc -isystem generated review/model-3/unsynced.cc \
  build/libwisteriaroute.a build/libwr_generated.a -lrapidcheck \
  $(pkg-config --libs capnp-rpc libxxhash openssl log4cplus gflags) -lev -lpthread -o "$out"
