#!/bin/sh
# The token budget of a program, while all frontend processes are killed twice.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
