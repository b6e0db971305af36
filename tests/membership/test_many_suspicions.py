"""Guards the links between nodes while many servers crash."""

import random

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import quarantine
from balsamlug import state
from balsamlug.membership import reconcile
from balsamlug.messages import codec

CRASHES = 100
# Requests that a server runs when it crashes.
REQUESTS = 32


def _can_be_sent(message) -> bool:
    try:
        codec.encode(message)
    except exceptions.ProtocolError:
        return False
    return True


def test_versions_of_many_suspicions_can_be_sent():
    fleet, rng = state.FleetState("s"), random.Random(1)
    table = quarantine.Quarantine(fleet, clocks.ManualClock(100.0))
    for crash in range(CRASHES):
        for _ in range(REQUESTS):
            subjects = f"{rng.getrandbits(64):x}", "part:5c1e07a2"
            table.record_crash(subjects, f"krovni-{crash}", crash)
    versions = reconcile.versions(fleet, reconcile.SUSPICIONS)
    assert _can_be_sent(versions), f"{len(fleet.suspicions)} suspicions"
