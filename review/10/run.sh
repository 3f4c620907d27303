#!/bin/sh
# The token budget of a program, while the process that answers a turn is killed, three times.
cd "$(dirname "$0")" && exec python3 -B case.py
