"""Guards against two accepted commits of a revision and commits applied twice.

This is invariant I8 of the design page.
"""

import asyncio
import random

import pytest

from balsamlug import exceptions
from balsamlug.config import revisions
from balsamlug_standins import memory_store

BASE = "[deployment:chat]\nmodel = m\ngroup_size = 2\n"


def apply(store, seen, author="a", base=BASE, overlays=None):
    return revisions.apply(store, base, overlays or {}, seen, author)


@pytest.fixture
def store():
    return memory_store.MemoryStore(random.Random(3))


def test_one_of_two_concurrent_operators_gets_a_conflict(store):
    async def race():
        return await asyncio.gather(
            apply(store, 0, "a"), apply(store, 0, "b"), return_exceptions=True
        )

    outcomes = asyncio.run(race())
    conflicts = [o for o in outcomes if not isinstance(o, int)]
    assert [o for o in outcomes if isinstance(o, int)] == [1]
    assert [(c.expected, c.current) for c in conflicts] == [(0, 1)]


def test_lost_answer_of_a_commit_is_not_a_conflict(store):
    store.faults = memory_store.StoreFaults(lost_answer=1.0)
    assert asyncio.run(apply(store, 0)) == 1
    assert asyncio.run(revisions.read(store)).revision == 1


def test_invalid_configuration_is_not_committed(store):
    with pytest.raises(exceptions.ConfigError):
        asyncio.run(apply(store, 0, base="[deployment:x]\n"))
    assert not store.objects


def test_overlay_of_another_site_is_retained_and_validated(store):
    async def scenario():
        overlay = "[deployment:chat]\ngroup_size = 4\n"
        await apply(store, 0, overlays={"tana": overlay})
        await apply(store, 1, overlays={"split": ""})
        return await revisions.read(store)

    current = asyncio.run(scenario())
    assert set(current.value["overlays"]) == {"tana", "split"}


def test_history_is_bounded(store):
    async def scenario():
        for revision in range(revisions.HISTORY_LENGTH + 5):
            await apply(store, revision)
        return await revisions.read(store)

    current = asyncio.run(scenario())
    assert current.revision == revisions.HISTORY_LENGTH + 5
    assert len(current.value["history"]) == revisions.HISTORY_LENGTH


@pytest.mark.parametrize("seed", [1, 2])
def test_thousand_changes_by_two_racing_operators(seed):
    rng = random.Random(seed)
    store = memory_store.MemoryStore(rng)
    store.faults = memory_store.StoreFaults(0.1, 0.05, 0.05)
    accepted = []

    async def operator(name):
        while len(accepted) < 1000:
            try:
                seen = (await revisions.read(store)).revision
                accepted.append((await apply(store, seen, name), name))
            except (exceptions.ConfigConflict, exceptions.StoreOutage):
                continue

    async def scenario():
        await asyncio.gather(operator("a"), operator("b"))
        return await revisions.read(store)

    current = asyncio.run(scenario())
    numbers = [revision for revision, _ in accepted]
    # No revision is accepted twice, and no lost commit is reported as accepted.
    assert len(set(numbers)) == len(numbers)
    assert current.revision >= max(numbers)
    by_revision = dict(accepted)
    for entry in current.value["history"]:
        reported = by_revision.get(entry["revision"], entry["author"])
        assert reported == entry["author"]


def test_revision_after_a_restored_store_exceeds_those_that_were_lost():
    async def scenario():
        store = memory_store.MemoryStore(random.Random(1))
        store.era = 1
        await revisions.apply(store, BASE, {}, 0, "a")
        saved = dict(store.objects)
        lost = await revisions.apply(store, BASE, {}, 1, "a")
        store.restore(saved)
        current = await revisions.read(store)
        committed = await revisions.apply(
            store, BASE, {}, current.revision, "b"
        )
        assert committed > lost
        assert (await revisions.read(store)).value["era"] == 2

    asyncio.run(scenario())
