#!/usr/bin/env bash
# Runs the script of a case five times, and once without the disruption: run-five.sh N
cd "$(dirname "$0")/$1"
broken=0
for i in 1 2 3 4 5; do
    ./run.sh > /dev/null; code=$?
    echo "run $i: exit code $code"
    [ $code = 1 ] && broken=$((broken + 1))
done
echo "broken in $broken of 5"
TROUBLE=0 ./run.sh > /dev/null
echo "without the disruption: exit code $?"
