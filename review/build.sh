#!/bin/sh
# The stand-ins are plain Python and use the standard library only: this checks that
# they compile. The program itself is built by deploy/build.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py */case.py
