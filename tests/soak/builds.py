"""Builds of passgate: the one of this repository, and earlier ones from its history."""

import os
import pathlib
import subprocess
import sys
import tarfile
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).parent.parent.parent


class BuildUnavailable(Exception):
    """The repository's history has no such build."""


@dataclass(frozen=True)
class Build:
    """A folder with a package passgate that processes can be started from."""

    name: str
    folder: pathlib.Path

    def environment(self):
        """Return an environment in which Python imports this build, also where another one is installed."""
        return os.environ | {"PYTHONPATH": str(self.folder), "PYTHONSAFEPATH": "1"}

    def imported_folder(self):
        """Return the folder from which a process with this build's environment imports passgate."""
        code = "import pathlib, passgate; print(pathlib.Path(passgate.__file__).resolve().parent.parent)"
        output = subprocess.run(
            [sys.executable, "-c", code],
            cwd=self.folder,
            env=self.environment(),
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        return pathlib.Path(output.strip())


PRESENT_BUILD = Build("present", ROOT)


def extract_build(commit, folder):
    """Extract the package of a commit into a folder and return the build.

    Raises BuildUnavailable if the history lacks the commit, or if Python would import another build.
    """
    archive = pathlib.Path(folder, f"{commit}.tar")
    run = subprocess.run(
        ["git", "archive", "--output", str(archive), commit, "passgate"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    if run.returncode:
        raise BuildUnavailable(f"{commit}: {run.stderr.strip()}")
    target = pathlib.Path(folder, f"build-{commit}").resolve()
    with tarfile.open(archive) as files:
        files.extractall(target, filter="data")
    archive.unlink()
    build = Build(commit, target)
    if build.imported_folder() != target:
        raise BuildUnavailable(f"Python imports passgate from {build.imported_folder()}, not from {target}")
    return build
