#!/bin/sh
# Prepares the scripts of review/11 to review/15. Their stand-ins are Python without packages, in review/rig-3 and beside the
# scripts, and run in the process of the script, so that nothing is compiled; this checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -B - <<'P'
import ast, pathlib, sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
for path in [pathlib.Path("rig-3/rig.py"), *sorted(pathlib.Path(".").glob("1[1-5]/play.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print(f"{path}: in order")
P
