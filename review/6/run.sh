#!/bin/sh
# A turn that the system keeps, while the storage machines are replaced one after the other.
cd "$(dirname "$0")" && exec python3 -B case.py
