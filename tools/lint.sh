#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over those given, with the compile commands of $BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if (($# > 0)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
