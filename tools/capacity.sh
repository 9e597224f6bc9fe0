#!/usr/bin/env bash
# Measures the slopes on this machine and prints them, one line each.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh --target vanilladyke_slopes >&2
"${BUILD_DIR:-build}/vanilladyke_slopes"
