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
# This clang can read the coroutines of Asio and of the C++ library, but doesn't announce it to them.
coroutines=(
    --extra-arg=-D__cpp_impl_coroutine=201902L
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1
)
printf '%s\n' "${files[@]}" \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet "${coroutines[@]}" 2>/dev/null
echo "lint: ${#files[@]} files clean"
