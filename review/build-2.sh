#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/, with the library that the build
# of the deploy file has left in target/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
definitions=(-DGALENARELAY_VERSION='"review"' -DELPP_NO_DEFAULT_LOG_FILE -DELPP_THREAD_SAFE
  -DBOOST_ASIO_HAS_CO_AWAIT -DBOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
  -DBOOST_MPL_LIMIT_LIST_SIZE=30 -DBOOST_MPL_LIMIT_VECTOR_SIZE=30)
sources=(review/standins-2/main.cpp review/standins-2/parts.cpp tests/soak/store_standin.cpp
  tests/soak/stream.cpp)
objects=()
cd "$root"
for source in "${sources[@]}"; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ -std=c++20 -O1 "${definitions[@]}" -I include -I . -I tests/soak -c "$source" -o "$object" &
done
for job in $(jobs -p); do wait "$job"; done
g++ "${objects[@]}" target/libgalenarelay.a target/libgalenarelay_easylogging.a \
  -lprometheus-cpp-core -ltins -linih -lxxhash -lpthread -o "$out/standins-2"
