"""The list of known failing tests: passed over exactly, and red itself when it is out of date."""

import json
import pathlib

import pytest

from tests.known_red import SOAK, KnownRed, unknown_breaches

PLUGIN = pathlib.Path(__file__).parent / "known_red.py"

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""


@pytest.fixture
def project(pytester):
    """A project with a failing and a passing test that uses the list."""
    pytester.makeconftest(PLUGIN.read_text(encoding="utf-8"))
    pytester.makepyfile(test_it=TESTS)
    pytester.makeini("[pytest]\ntestpaths = .")
    return pytester


def listing(project, *lines):
    (project.path / "KNOWN-RED.txt").write_text("\n".join(lines), encoding="utf-8")


def run(project, *arguments):
    return project.runpytest_subprocess("-p", "no:looptime_plugin", *arguments)


def test_a_failing_test_that_is_not_listed_fails_the_run(project):
    run(project).assert_outcomes(passed=1, failed=1)


def test_a_listed_test_is_passed_over_and_printed(project):
    listing(project, "# mend first", "test_it.py::test_red | pytest, seed 1 | lost answers | 7")
    result = run(project)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["known red: test_it.py::test_red | pytest, seed 1 | lost answers | issue 7"])


def test_a_listed_test_that_passes_fails_the_run(project):
    listing(project, "test_it.py::test_red | c | a | 1", "test_it.py::test_green | c | b | 2")
    result = run(project)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, failed=1)


@pytest.mark.parametrize(
    "lines",
    [
        ["test_it.py::test_red | c | a | 1", "test_it.py::test_gone | c | b | 2"],
        ["test_it.py::test_red | pytest, seed 1 | no issue"],
        ["test_it.py::test_red | pytest, seed 1 | | 7"],
        ["test_it.py::test_red without separators"],
        [f"test_it.py::test_{number} | c | a | 1" for number in range(4)],
    ],
    ids=["a test that does not exist", "no issue", "nothing seen", "no parts", "four lines"],
)
def test_a_list_that_is_not_as_it_has_to_be_fails_the_run(project, lines):
    listing(project, *lines)
    assert run(project).ret == pytest.ExitCode.USAGE_ERROR


def test_a_part_of_the_tests_may_be_run_alone(project):
    listing(project, "test_it.py::test_red | pytest, seed 1 | lost answers | 7")
    assert run(project, "test_it.py::test_green").ret == 0


COMMAND = "make soak SEED=7"
SEEN = "jobN has N of N results; IndexError: empty sequence: replicas do not come back"
LISTED = [KnownRed(SOAK, COMMAND, SEEN, "35")]


def report(*broken):
    text = json.dumps({"seed": 7, "counts": {"call 200": 1}, "broken": broken}, indent=1)
    return f"python -m tests.soak\n{text}\nmake: *** [Makefile:30: soak] Error 1\n"


@pytest.mark.parametrize(
    "output",
    [
        report("108.12 s: job5 has 0 of 11 results", "108.13 s: job6 has 1 of 2 results"),
        "Traceback (most recent call last):\nIndexError: empty sequence\nmake: *** Error 1\n",
    ],
    ids=["broken promises", "an exception"],
)
def test_a_soak_that_failed_only_as_listed_is_known(output):
    assert not unknown_breaches(LISTED, COMMAND, output)


@pytest.mark.parametrize(
    ("listed", "command", "output"),
    [
        (
            LISTED,
            COMMAND,
            report("1.00 s: job5 has 0 of 3 results", "2.00 s: r1 ran 2 times"),
        ),
        (LISTED, "make soak SEED=8", report("1.00 s: job5 has 0 of 3 results")),
        ([], COMMAND, report("1.00 s: job5 has 0 of 3 results")),
        (LISTED, COMMAND, report()),
        (LISTED, COMMAND, "Traceback (most recent call last):\nKeyError: 1\n"),
        (LISTED, COMMAND, ""),
    ],
    ids=["another breach", "another seed", "no entry", "no breach", "another exception", "no output"],
)
def test_a_soak_that_failed_otherwise_fails_the_run(listed, command, output):
    assert unknown_breaches(listed, command, output)


def test_the_soak_may_be_listed_beside_tests(project):
    listing(project, f"{SOAK} | {COMMAND} | jobN has N of N results | 35")
    result = run(project, "-k", "green")
    assert result.ret == 0
    result.stdout.fnmatch_lines([f"known red: {SOAK} | {COMMAND} | jobN has N of N results | issue 35"])
