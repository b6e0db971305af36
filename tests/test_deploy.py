"""Guards the build of the deploy file against dependencies that do not fit."""

import os
import pathlib
import subprocess
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[1]
# Stands for an interpreter of the platform in FAKE_PLATFORM; its pip only
# records that it was called.
PYTHON = """#!/bin/sh
case "$1" in
  -c) echo "$FAKE_PLATFORM" ;;
  -m) mkdir -p target/deps && echo "$FAKE_PLATFORM" >> installs.txt ;;
esac
"""


@pytest.fixture
def build(tmp_path):
    """Return a function that builds on a platform and returns all installs."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    python = tmp_path / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(PYTHON)
    python.chmod(0o755)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/requirements.txt").write_text("attrs==26.1.0\n")

    def run(platform: str) -> list[str]:
        env = {
            "PATH": f"{python.parent}:{os.environ['PATH']}",
            "FAKE_PLATFORM": platform,
        }
        subprocess.run(
            deploy["build"], shell=True, check=True, cwd=tmp_path, env=env
        )
        return (tmp_path / "installs.txt").read_text().split()

    return run


def test_dependencies_of_another_platform_are_not_kept(build):
    assert build("linux-x86_64") == ["linux-x86_64"]
    assert build("linux-aarch64") == ["linux-x86_64", "linux-aarch64"]


def test_dependencies_are_installed_again_only_when_they_change(
    build, tmp_path
):
    build("linux-aarch64")
    assert len(build("linux-aarch64")) == 1
    (tmp_path / "deploy/requirements.txt").write_text("attrs==26.2.0\n")
    assert len(build("linux-aarch64")) == 2
