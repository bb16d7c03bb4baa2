"""Lets a test run pass over exactly the known failing tests, and fail when one of them passes.

``KNOWN-RED.txt`` at the repository's root has a line for each: test, cause and issue,
separated by ``|``; lines that begin with ``#`` are comments.  A listed test is expected
to fail, strictly, so a run fails as soon as the test passes and its line has to go.  A line
that names no test fails a run of all tests, as does a line that lacks a part, or a fourth line.
"""

import pathlib
from dataclasses import dataclass

import pytest

FILE = "KNOWN-RED.txt"
SEPARATOR = "|"
COMMENT = "#"
MOST = 3
"""Most tests that may be listed at once."""


@dataclass(frozen=True)
class KnownRed:
    test: str
    """Node id of the test, as pytest prints it."""
    cause: str
    issue: str


def read(path):
    """Return the listed tests; raises pytest.UsageError when the list is not as it has to be."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    listed = [_parse(line) for line in lines if line and not line.startswith(COMMENT)]
    if len(listed) > MOST:
        raise pytest.UsageError(f"{path.name} lists {len(listed)} tests, {MOST} at most are allowed")
    return listed


def _parse(line):
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"a line of {FILE} is not 'test | cause | issue': {line}")
    return KnownRed(*parts)


def pytest_collection_modifyitems(config, items):
    listed = {red.test: red for red in read(pathlib.Path(config.rootpath) / FILE)}
    found = set()
    for item in items:
        red = listed.get(item.nodeid)
        if red is not None:
            found.add(red.test)
            reason = f"known: {red.cause} (issue {red.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
    missing = sorted(listed.keys() - found)
    if missing and _runs_all(config):
        raise pytest.UsageError(f"{FILE} lists tests that do not exist: {', '.join(missing)}")


def _runs_all(config):
    """Return whether no part of the tests was chosen on the command line."""
    chosen = config.option.keyword or config.option.markexpr or getattr(config.option, "deselect", None)
    return config.args_source is not pytest.Config.ArgsSource.ARGS and not chosen


def pytest_report_header(config):
    listed = read(pathlib.Path(config.rootpath) / FILE)
    return [f"known red: {red.test} | {red.cause} | issue {red.issue}" for red in listed]
