#!/bin/sh
# Compiles the stand-ins of the scripts; they need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig.py ./*/case.py
