#!/bin/sh
# Prepares the stand-ins that the scripts of the second review start. They are Python
# programs that need the standard library only, so this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib2 7 8 9 10
