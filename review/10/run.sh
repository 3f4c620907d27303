#!/bin/sh
# The token budget of a program, while all frontend processes are killed twice.
cd "$(dirname "$0")" && exec python3 -B case.py
