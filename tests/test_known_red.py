"""The list of known failing tests: only listed tests may fail, and an outdated entry fails the run."""

import json
import pathlib

import pytest

from tests.known_red import SOAK_TEST, KnownFailure, unlisted_violations

PLUGIN = pathlib.Path(__file__).parent / "known_red.py"

TEST_MODULE = """
def test_red():
    assert False

def test_green():
    pass
"""


@pytest.fixture
def project(pytester):
    """Return a project that uses the plugin and has a failing and a passing test."""
    pytester.makeconftest(PLUGIN.read_text(encoding="utf-8"))
    pytester.makepyfile(test_it=TEST_MODULE)
    pytester.makeini("[pytest]\ntestpaths = .")
    return pytester


def write_list(project, *entries):
    (project.path / "KNOWN-RED.txt").write_text("\n".join(entries), encoding="utf-8")


def run_tests(project, *arguments):
    return project.runpytest_subprocess("-p", "no:looptime_plugin", *arguments)


def test_a_failing_test_that_is_not_listed_fails_the_run(project):
    run_tests(project).assert_outcomes(passed=1, failed=1)


def test_a_listed_test_may_fail_and_is_printed(project):
    write_list(project, "# mend first", "test_it.py::test_red | pytest, seed 1 | lost answers | 7")
    result = run_tests(project)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["known red: test_it.py::test_red | pytest, seed 1 | lost answers | issue 7"])


def test_a_listed_test_that_passes_fails_the_run(project):
    write_list(project, "test_it.py::test_red | c | a | 1", "test_it.py::test_green | c | b | 2")
    result = run_tests(project)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, failed=1)


@pytest.mark.parametrize(
    "entries",
    [
        ["test_it.py::test_red | c | a | 1", "test_it.py::test_gone | c | b | 2"],
        ["test_it.py::test_red | pytest, seed 1 | no issue"],
        ["test_it.py::test_red | pytest, seed 1 | | 7"],
        ["test_it.py::test_red without separators"],
        [f"test_it.py::test_{number} | c | a | 1" for number in range(4)],
    ],
    ids=["a test that does not exist", "no issue", "nothing seen", "no fields", "four entries"],
)
def test_an_invalid_list_fails_the_run(project, entries):
    write_list(project, *entries)
    assert run_tests(project).ret == pytest.ExitCode.USAGE_ERROR


def test_a_run_of_some_tests_may_lack_listed_tests(project):
    write_list(project, "test_it.py::test_red | pytest, seed 1 | lost answers | 7")
    assert run_tests(project, "test_it.py::test_green").ret == 0


SOAK_COMMAND = "make soak SEED=7"
OBSERVED = "jobN has N of N results; IndexError: empty sequence: replicas do not come back"
ENTRIES = [KnownFailure(SOAK_TEST, SOAK_COMMAND, OBSERVED, "35")]


def soak_output(*violations):
    """Return the output of a failed ``make soak``."""
    report = json.dumps({"seed": 7, "counts": {"call 200": 1}, "broken": violations}, indent=1)
    return f"python -m tests.soak\n{report}\nmake: *** [Makefile:30: soak] Error 1\n"


@pytest.mark.parametrize(
    "output",
    [
        soak_output("108.12 s: job5 has 0 of 11 results", "108.13 s: job6 has 1 of 2 results"),
        "Traceback (most recent call last):\nIndexError: empty sequence\nmake: *** Error 1\n",
    ],
    ids=["violations", "an exception"],
)
def test_a_soak_with_listed_violations_only_is_known(output):
    assert not unlisted_violations(ENTRIES, SOAK_COMMAND, output)


@pytest.mark.parametrize(
    ("entries", "command", "output"),
    [
        (
            ENTRIES,
            SOAK_COMMAND,
            soak_output("1.00 s: job5 has 0 of 3 results", "2.00 s: r1 ran 2 times"),
        ),
        (ENTRIES, "make soak SEED=8", soak_output("1.00 s: job5 has 0 of 3 results")),
        ([], SOAK_COMMAND, soak_output("1.00 s: job5 has 0 of 3 results")),
        (ENTRIES, SOAK_COMMAND, soak_output()),
        (ENTRIES, SOAK_COMMAND, "Traceback (most recent call last):\nKeyError: 1\n"),
        (ENTRIES, SOAK_COMMAND, ""),
    ],
    ids=["another violation", "another seed", "no entry", "no violation", "another exception", "no output"],
)
def test_a_soak_that_failed_otherwise_is_not_known(entries, command, output):
    assert unlisted_violations(entries, command, output)


def test_the_soak_may_be_listed_among_tests(project):
    write_list(project, f"{SOAK_TEST} | {SOAK_COMMAND} | jobN has N of N results | 35")
    result = run_tests(project, "-k", "green")
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [f"known red: {SOAK_TEST} | {SOAK_COMMAND} | jobN has N of N results | issue 35"]
    )
