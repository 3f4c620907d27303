#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs that
# use only the standard library, so there is nothing to compile; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import sys
sys.path.insert(0, 'standins-2')
import kd
assert sys.version_info >= (3, 8)
"
