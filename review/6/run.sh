#!/bin/sh
# A turn that the system keeps, while the storage machines are replaced one after the other.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
