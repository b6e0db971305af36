"""Fixtures of the integration tests."""

import contextlib

import pytest

from balsamlug_standins import fleet
from balsamlug_standins import fleet_spec
from balsamlug_standins import processes

# Assertions in this module then report the values they compare.
pytest.register_assert_rewrite("tests.integration.checks")
OUTPUT_TAIL_CHARACTERS = 1500


@pytest.fixture(scope="session", autouse=True)
def _exit_on_sigterm():
    processes.exit_on_sigterm()


@pytest.fixture
def start_fleet(tmp_path):
    """Return a function that starts a fleet and waits for its groups.

    The fleet ends with the test. The end of each process's output is printed,
    which pytest shows when the test fails.
    """
    with contextlib.ExitStack() as stack:

        def start(groups, **spec):
            fleet_settings = fleet_spec.FleetSpec(**spec)
            started_fleet = stack.enter_context(
                fleet.Fleet(fleet_settings, tmp_path)
            )
            started_fleet.wait_groups(groups)
            return started_fleet

        yield start
    _print_outputs(tmp_path)


def _print_outputs(directory):
    for path in sorted(directory.glob("*.out")):
        tail = path.read_text()[-OUTPUT_TAIL_CHARACTERS:].strip()
        if tail and not tail.startswith("ready "):
            print(f"--- {path.name}\n{tail}")
