#!/bin/sh
# New programs go on from kept turns after all frontend processes were killed twice.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
