#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md on this machine and prints them, one line each.
#   tools/capacity.sh            print
#   tools/capacity.sh --check    print, and compare with the page: fails if one is off by more than it states
#   tools/capacity.sh --write    print, and write the page's tables anew
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-}
build=${BUILD_DIR:-build}
tools/setup.sh
tools/build.sh --target vanilladyke_slopes vanilladyke standin_engine standin_platform >&2
slopes=$(mktemp)
trap 'rm -f "$slopes"' EXIT
"$build/vanilladyke_slopes" | tee "$slopes"
tools/stream_slopes.py --build "$build" | tee -a "$slopes"
case $mode in
    --check) tools/capacity_page.py --check docs/CAPACITY.md <"$slopes" ;;
    --write) tools/capacity_page.py docs/CAPACITY.md <"$slopes" ;;
esac
