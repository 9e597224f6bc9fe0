#!/usr/bin/env bash
# Sets up, builds, and runs all tests. Exits 0 only if every one passed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh
if [[ -s KNOWN-RED.txt ]]; then
    echo "known red, left out of the verdict:"
    cat KNOWN-RED.txt
fi
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure --no-tests=error
