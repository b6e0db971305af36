"""Fixtures of the integration tests."""

import contextlib

import pytest

from balsamlug_standins import fleet
from balsamlug_standins import fleet_spec
from balsamlug_standins import processes

# Its assertions report the values they compare, as those of the tests do.
pytest.register_assert_rewrite("tests.integration.checks")
OUTPUT_TAIL_CHARACTERS = 1500


@pytest.fixture(scope="session", autouse=True)
def _exit_on_sigterm():
    processes.exit_on_sigterm()


@pytest.fixture
def start_fleet(tmp_path):
    """Start a fleet that ends with the test, and wait for its groups.

    The outputs of its processes are printed, which pytest shows on a failure.
    """
    with contextlib.ExitStack() as stack:

        def start(groups, **spec):
            described = fleet_spec.FleetSpec(**spec)
            started = stack.enter_context(fleet.Fleet(described, tmp_path))
            started.wait_groups(groups)
            return started

        yield start
    _print_outputs(tmp_path)


def _print_outputs(directory):
    for path in sorted(directory.glob("*.out")):
        tail = path.read_text()[-OUTPUT_TAIL_CHARACTERS:].strip()
        if tail and not tail.startswith("ready "):
            print(f"--- {path.name}\n{tail}")
