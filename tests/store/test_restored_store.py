"""Guards the order of what is read before and after the store is restored.

Revisions start again from those of the copy, and are given out again.
"""

import asyncio

import pytest

from balsamlug import exceptions
from balsamlug.platform import objects
from balsamlug.store import client
from balsamlug.store import positions
from balsamlug_standins import object_api

WATCH_MS = 10_000


def _run(scenario) -> None:
    async def main() -> None:
        api = object_api.ObjectApi()
        address = api.listen()
        store = client.ObjectStore(
            f"http://{address}", wire=objects.PlatformWire()
        )
        try:
            async with asyncio.timeout(10):
                await scenario(api, store)
        finally:
            store.close()
            api.stop()

    asyncio.run(main())


def test_what_is_read_after_a_return_is_newer():
    async def scenario(api, store):
        api.write("domain", "d", {"n": 1})
        saved = api.copy()
        api.write("domain", "d", {"n": 2})
        before = await store.get("domain", "d")
        api.restore(saved)
        after = await store.get("domain", "d")
        assert after.value == {"n": 1}
        assert after.version > before.version
        listed = await store.list("domain")
        assert listed.revision > before.version

    _run(scenario)


def test_watch_from_a_revision_given_out_again_misses_no_change():
    async def scenario(api, store):
        api.write("domain", "a", {})
        saved = api.copy()
        api.write("domain", "a", {"lost": True})
        listed = await store.list("domain")
        api.restore(saved)
        api.write("domain", "b", {})
        api.write("domain", "c", {})
        with pytest.raises(exceptions.StoreHistoryGone):
            await store.watch("domain", listed.revision, WATCH_MS)
        with pytest.raises(exceptions.StoreHistoryGone):
            await store.watch("domain", listed.revision, WATCH_MS)
        names = [item.name for item in (await store.list("domain")).items]
        assert names == ["a", "b", "c"]

    _run(scenario)


def test_waiting_watch_ends_when_another_answer_shows_the_return():
    async def scenario(api, store):
        api.write("domain", "a", {})
        listed = await store.list("domain")
        watch = asyncio.create_task(
            store.watch("domain", listed.revision, WATCH_MS)
        )
        await asyncio.sleep(0.1)
        api.restore(api.copy())
        await store.list("domain")
        with pytest.raises(exceptions.StoreHistoryGone):
            async with asyncio.timeout(1):
                await watch

    _run(scenario)


def test_cancelled_watch_stays_cancelled_beside_a_return():
    async def scenario(api, store):
        listed = await store.list("domain")
        watch = asyncio.create_task(
            store.watch("domain", listed.revision, WATCH_MS)
        )
        await asyncio.sleep(0.1)
        watch.cancel()
        api.restore(api.copy())
        await store.list("domain")
        with pytest.raises(asyncio.CancelledError):
            await watch

    _run(scenario)


def test_write_under_a_revision_given_out_again_is_no_success():
    async def scenario(api, store):
        saved = api.copy()
        version = await store.put("domain", "d", {"by": "us"}, 0)
        api.restore(saved)
        api.write("domain", "d", {"by": "another"})
        assert api.table.revision == positions.revision_of(version)
        with pytest.raises(exceptions.StoreConflict):
            await store.put("domain", "d", {"by": "us, again"}, version)
        # Once the return is known, such a write is not even sent.
        stored = api.write("domain", "d", {"by": "another"})
        with pytest.raises(exceptions.StoreConflict):
            await store.put("domain", "d", {"by": "us, again"}, version)
        assert api.table.get("domain", "d")["version"] == stored

    _run(scenario)


def test_write_without_an_answer_is_not_repeated_in_a_later_era():
    async def scenario(api, store):
        saved = api.copy()
        version = await store.put("domain", "d", {"by": "us"}, 0)
        api.lose_answers = 1
        put = store.put

        async def put_before_the_return(*args) -> int:
            try:
                return await put(*args)
            except exceptions.StoreOutage:
                store.put = put
                api.restore(saved)
                api.write("domain", "d", {"by": "another"})
                raise

        store.put = put_before_the_return
        with pytest.raises(exceptions.StoreConflict):
            await store.commit(
                "domain",
                "d",
                {"by": "us", "op": 2},
                version,
                lambda value: value.get("op") == 2,
            )
        assert api.table.get("domain", "d")["value"] == {"by": "another"}

    _run(scenario)


def test_answer_from_before_a_known_return_is_no_answer():
    async def scenario(api, store):
        api.era = 4
        await store.list("domain")
        api.era = 3
        with pytest.raises(exceptions.StoreOutage):
            await store.list("domain")
        assert store.era == 4

    _run(scenario)


@pytest.mark.parametrize("text", [None, "", "-1", "1.5", "x", "9" * 40, "²"])
def test_missing_or_malformed_era_is_none(text):
    assert positions.parse_era(text) is None


def test_positions_keep_their_order_over_two_returns():
    ordered = [
        positions.position(era, revision)
        for era, revision in ((0, 9), (1, 5), (1, 8), (2, 1), (3, 0))
    ]
    assert ordered == sorted(ordered)
    assert [positions.era_of(p) for p in ordered] == [0, 1, 1, 2, 3]
    assert [positions.revision_of(p) for p in ordered] == [9, 5, 8, 1, 0]
