#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python files; this checks that they compile.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q lib2
