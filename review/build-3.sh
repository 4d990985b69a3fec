#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec g++ -std=c++20 -O1 -pthread -I. -Iinclude -Ireview/standins-3 \
  -DBOOST_ASIO_HAS_CO_AWAIT -DELPP_NO_DEFAULT_LOG_FILE -DELPP_THREAD_SAFE \
  '-DGALENARELAY_VERSION="0.1.0"' \
  review/standins-3/*.cpp tests/soak/store_standin.cpp tests/soak/stream.cpp \
  target/libgalenarelay.a target/libgalenarelay_easylogging.a \
  -lprometheus-cpp-core -ltins -linih -lxxhash -o target/review-3/stage
