#!/bin/sh
# The scripts of this review start the node that the deploy file builds, and stand-ins in Python: the project's own in
# tests/integration, and small ones beside the scripts. Nothing is built for them; this checks that they load.
cd "$(dirname "$0")/.." && exec /usr/bin/python3 -c "
import sys
sys.dont_write_bytecode = True
sys.path[:0] = ['review/common-2']
import trial
print('stand-ins load:', trial.platform_store.__name__, trial.platform_engine.__name__)"
