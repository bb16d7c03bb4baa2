"""The list of known failing tests: passed over exactly, and red itself when it is out of date."""

import pathlib

import pytest

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
    listing(project, "# mend first", "test_it.py::test_red | lost answers | 7")
    result = run(project)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["known red: test_it.py::test_red | lost answers | issue 7"])


def test_a_listed_test_that_passes_fails_the_run(project):
    listing(project, "test_it.py::test_red | a | 1", "test_it.py::test_green | b | 2")
    result = run(project)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, failed=1)


@pytest.mark.parametrize(
    "lines",
    [
        ["test_it.py::test_red | a | 1", "test_it.py::test_gone | b | 2"],
        ["test_it.py::test_red | no issue"],
        ["test_it.py::test_red without separators"],
        [f"test_it.py::test_{number} | a | 1" for number in range(4)],
    ],
    ids=["a test that does not exist", "no issue", "no parts", "four lines"],
)
def test_a_list_that_is_not_as_it_has_to_be_fails_the_run(project, lines):
    listing(project, *lines)
    assert run(project).ret == pytest.ExitCode.USAGE_ERROR


def test_a_part_of_the_tests_may_be_run_alone(project):
    listing(project, "test_it.py::test_red | lost answers | 7")
    assert run(project, "test_it.py::test_green").ret == 0
