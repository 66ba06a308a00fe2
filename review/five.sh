#!/usr/bin/env bash
# Runs the script of a case five times with the disruption and once without, and prints the exit codes.
set -uo pipefail
cd "$(dirname "$0")/$1"
TROUBLE=0 ./run.sh; echo "without the disruption: $?"
for run in 1 2 3 4 5; do ./run.sh; echo "run $run: $? $(grep ' end ' record.txt)"; done
