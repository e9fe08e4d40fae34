#!/bin/sh
# TROUBLE=0 leaves the disruption out; record.txt tells what was sent, answered and run.
folder=$(dirname "$0")
TROUBLE="${TROUBLE:-1}" exec python3 "$folder/case.py" "$folder/record.txt"
