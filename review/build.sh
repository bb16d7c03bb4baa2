#!/bin/sh
# Checks that all stand-ins of the cases start: they are Python programs on the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build line of deploy/system.toml first" >&2
    exit 1
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps \
    python3 -c "import review.standins.harness, review.standins.replica, passgate.platform.program"
