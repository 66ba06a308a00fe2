#!/bin/bash
# Runs the script of a case five times, and once without the disruption: review/five-2.sh 6
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do ./run.sh; echo "exit $?"; done
TROUBLE=0 ./run.sh; echo "without the disruption: exit $?"
