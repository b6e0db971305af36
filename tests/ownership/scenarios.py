"""Helpers shared by the tests of the control tasks."""

import asyncio

from tests.ownership import harness

SERVING = ["d1-1", "d1-2"]


def scenario(test):
    """Run a coroutine function as a test."""

    def run():
        asyncio.run(test())

    run.__name__ = test.__name__
    return run


async def serving_fleet(**options):
    fleet = harness.Fleet(**options)
    await fleet.run(12)
    return fleet


def members(fleet, group="d1-1"):
    return fleet.groups()[group]["members"]


def assert_engines_agree(fleet):
    """Check invariants I1 and I2 for every group reported as ready.

    I1: every member is ready at its rank and generation. I2: no instance is in
    two groups.
    """
    for group_id in fleet.ready():
        group = fleet.groups()[group_id]
        for rank, member in enumerate(group["members"]):
            status = fleet.engines[member].status()
            assert status["group"] == group_id
            assert status["generation"] == group["generation"]
            assert status["rank"] == rank
            assert status["state"] == "ready"
    assigned = [m for g in fleet.groups().values() for m in g["members"]]
    assert len(assigned) == len(set(assigned))
