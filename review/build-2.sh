#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10 into target/review-2/.
# Needs what the build of the deploy file needs: g++, libboost-dev and
# libjsoncpp-dev.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -DBOOST_ASIO_HAS_CO_AWAIT \
    -isystem /usr/include/jsoncpp "$source" \
    -o "target/review-2/$name" -ljsoncpp -pthread
done
