#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the deploy file's program. All stand-ins are Python and need no
# build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import sys
sys.path.insert(0, "review/standins")
import common
CHECK
