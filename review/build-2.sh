#!/bin/sh
# Builds what the cases 4 to 8 start besides the program of the deploy file. Their stand-ins are Python scripts that use
# the standard library alone, so there is nothing to compile: this checks that the interpreter runs them.
set -eu
cd "$(dirname "$0")/stand_ins_2"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins'
echo "stand-ins are in order"
