#!/bin/sh
# TROUBLE=0 runs the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py record.txt
