"""Guards lease holders against odd values of their domain object."""

import asyncio
import random

import pytest

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.ownership import domain_objects
from balsamlug.ownership import record as records
from balsamlug.store import decoding
from balsamlug.store import objects


class _Store:
    def __init__(self, value: object) -> None:
        self._value = value

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        return objects.StoredObject(kind, name, 7, self._value)


@pytest.mark.parametrize(
    "value", [None, [], decoding.Unreadable("test"), {"lease": []}]
)
def test_odd_domain_object_delays_the_next_call_to_the_store(value):
    clock = clocks.ManualClock(now_s=10.0)
    known = domain_objects.DomainObjects(
        fleet.FleetState("s"),
        _Store(value),
        clock,
        random.Random(1),
        lambda domain: 0,
    )
    record = records.DomainRecord("d1")
    assert not asyncio.run(known.read(record))
    assert record.next_call_s > clock.monotonic()
