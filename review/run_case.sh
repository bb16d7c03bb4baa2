#!/bin/sh
# Runs the case of a folder: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1 python3 "review/$folder/case.py" &
child=$!
trap 'kill $child 2>/dev/null' TERM INT HUP
wait $child
code=$?
if [ $code -gt 128 ]; then
    wait $child # the wait was interrupted by a signal, which the case has got as well
    exit 2
fi
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
