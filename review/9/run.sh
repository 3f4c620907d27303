#!/bin/sh
# New programs go on from kept turns after all frontend processes were killed twice.
cd "$(dirname "$0")" && exec python3 -B case.py
