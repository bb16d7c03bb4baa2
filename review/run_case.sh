#!/bin/sh
# Runs the case of a folder: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1 python3 "review/$folder/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
