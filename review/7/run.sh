#!/bin/sh
# New turns, after two of three storage machines were replaced one after the other.
cd "$(dirname "$0")" && exec python3 -B case.py
