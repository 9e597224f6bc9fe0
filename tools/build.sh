#!/usr/bin/env bash
# Builds everything into $BUILD_DIR (default build/).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"$build.configure.log" 2>&1 \
    || { cat "$build.configure.log"; exit 1; }
rm -f "$build.configure.log"
cmake --build "$build" "$@"
