#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python without packages, compiled here so
# that a case fails early on an interpreter that cannot run them. `deploy/system.toml`
# names the build of the daemons, which comes first.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "Python 3.11 or later is needed"; exit 1; }
python3 -m compileall -q review/site_2.py review/6 review/7 review/8 review/9 review/10
