#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs of the standard library in rig-2/ and
# the case folders, so this only checks that they can run; no stand-in of the project is used.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 of 3.9 or later is needed"; exit 1; }
for file in rig-2/rig.py [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "stand-ins are ready"
