#!/usr/bin/env bash
# Formats every source file in place; with --check only says which would change, and fails on any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[[ ${1:-} == --check ]] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' \
    | xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
