"""Guards against missed ends of instances, and live ones taken for ended."""

import asyncio

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import endings
from balsamlug.health import listed as listing
from balsamlug.messages import types

ACCEPTS = endings.Reachability.ACCEPTS
REFUSES = endings.Reachability.REFUSES
SILENT = endings.Reachability.SILENT
ADDRESS = "127.0.0.1:1"


def _entry(name: str, incarnation: str, address: str = ADDRESS) -> dict:
    instance = tables.Instance(
        name, incarnation, tables.InstanceKind.SERVICE, address, "", "z", ""
    )
    return attrs.asdict(instance)


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    monkeypatch.setattr(endings, "END_DELAY_S", 0.01)
    monkeypatch.setattr(endings, "LISTING_TIMEOUT_S", 0.2)


def _check(
    reachability: endings.Reachability,
    *later_entries: dict,
    is_path_up: bool = True,
) -> bool:
    """Return the result of a check during which the list changes."""

    async def main() -> bool:
        fleet, clock = state.FleetState("s"), clocks.SystemClock()
        listed = listing.Listed(fleet, clock)

        def publish(revision: int, *entries: dict) -> None:
            update = types.InstanceUpdate(revision, list(entries))
            fleet.publish(update, clock.monotonic())
            listed.refresh()

        async def connect(address: str) -> endings.Reachability:
            assert address == ADDRESS
            return reachability

        checks = endings.Endings(
            fleet, listed, clock, lambda: is_path_up, connect
        )
        publish(1, _entry("a", "1"))
        check = asyncio.create_task(checks.has_ended(fleet.instances["a"]))
        await asyncio.sleep(0.05)
        publish(3, *later_entries)
        return await check

    return asyncio.run(main())


@pytest.mark.parametrize(
    "successor", [_entry("a", "2"), _entry("b", "2"), _entry("b", "10")]
)
def test_instance_with_a_successor_at_its_address_has_ended(successor):
    assert _check(ACCEPTS, successor)
    assert _check(ACCEPTS, _entry("a", "1"), successor)
    assert _check(SILENT, successor, is_path_up=False)


@pytest.mark.parametrize("reachability", [REFUSES, SILENT])
def test_instance_that_accepts_no_connection_has_ended(reachability):
    assert _check(reachability, _entry("a", "1"))


def test_instance_that_is_listed_and_answers_is_alive():
    assert not _check(ACCEPTS, _entry("a", "1"))
    assert not _check(
        ACCEPTS, _entry("a", "1"), _entry("b", "2", "127.0.0.1:2")
    )


def test_instance_that_leaves_the_list_and_answers_is_alive():
    assert not _check(ACCEPTS)


def test_instance_is_not_counted_when_the_own_path_is_down():
    assert not _check(SILENT, _entry("a", "1"), is_path_up=False)


def test_checks_of_one_incarnation_share_a_connection():
    async def main() -> int:
        fleet, clock = state.FleetState("s"), clocks.SystemClock()
        connections = []

        async def connect(address: str) -> endings.Reachability:
            connections.append(address)
            return REFUSES

        checks = endings.Endings(
            fleet, listing.Listed(fleet, clock), clock, lambda: True, connect
        )
        instance = tables.Instance(**_entry("a", "1"))
        await asyncio.gather(*(checks.has_ended(instance) for _ in range(20)))
        return len(connections)

    assert asyncio.run(main()) == 1
