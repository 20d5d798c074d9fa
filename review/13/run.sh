#!/bin/sh
# A route is replaced while its accepted jobs are under way. Exits with 1 if LOST was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" && exec python3 -B play.py
