"""Builds of other commits, which nodes run beside those of the present one."""

import io
import pathlib
import subprocess
import sys
import tarfile

import attrs

from balsamlug_standins import processes

PRINT_PACKAGE = "import balsamlug; print(balsamlug.__file__)"


class BuildFailed(Exception):
    """The build of a commit is not what a process would run."""


@attrs.frozen
class Build:
    """Folder whose packages a node runs.

    Attributes:
      suffix: of the names of the output files of its processes.
    """

    root: pathlib.Path = processes.ROOT
    suffix: str = ""

    def use(self, process: processes.Process) -> None:
        """Let the next start of a process run this build."""
        process.root = self.root
        name = f"{process.name}{self.suffix}.out"
        process.output = process.output.with_name(name)


def export(commit: str, directory: pathlib.Path) -> Build:
    """Write the files of a commit to a folder of the run.

    Raises:
      CalledProcessError: the repository has no such commit.
      BuildFailed: its package is not the one that a process imports.
    """
    root = (directory / "build").resolve()
    archive = subprocess.run(
        ["git", "archive", commit, "balsamlug"],
        cwd=processes.ROOT,
        stdout=subprocess.PIPE,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(root, filter="data")
    imported = subprocess.run(
        [sys.executable, "-c", PRINT_PACKAGE],
        cwd=root,
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    )
    if not pathlib.Path(imported.stdout.strip()).is_relative_to(root):
        raise BuildFailed(f"{commit} runs {imported.stdout.strip()}")
    return Build(root, f"-{commit[:7]}")
