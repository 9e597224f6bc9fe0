#!/usr/bin/env bash
# Runs the fault matrix, or a part of it: [--row FAULT] [--column STEP] [--seed N] [--quick].
set -euo pipefail
cd "$(dirname "$0")/.."
exec /usr/bin/python3 tests/integration/faults.py --build "${BUILD_DIR:-build}" "$@"
