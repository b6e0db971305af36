"""Guards the store's protocol: conditional writes, lists, malformed entries."""

import asyncio

import pytest

from balsamlug import exceptions
from balsamlug.platform import objects
from balsamlug.store import client
from balsamlug_standins import object_api
from tests.platform import samples


def _run(scenario) -> None:
    async def main() -> None:
        api = object_api.ObjectApi()
        address = api.listen()
        wire = objects.PlatformWire()
        store = client.ObjectStore(f"http://{address}", wire=wire)
        try:
            await scenario(api, store)
        finally:
            store.close()
            api.stop()

    asyncio.run(main())


def test_writes_are_conditional():
    async def scenario(api, store):
        first = await store.put("domain", "d1", {"a": 1}, 0)
        with pytest.raises(exceptions.StoreConflict) as conflict:
            await store.put("domain", "d1", {"a": 2}, 0)
        assert conflict.value.version == first
        second = await store.put("domain", "d1", {"a": 2}, first)
        with pytest.raises(exceptions.StoreConflict):
            await store.put("domain", "d1", {"a": 3}, first)
        stored = await store.get("domain", "d1")
        assert (stored.version, stored.value) == (second, {"a": 2})

    _run(scenario)


def test_write_with_a_lost_answer_is_recognised():
    async def scenario(api, store):
        api.lose_answers = 2
        version = await store.commit(
            "domain", "d1", {"op": "x"}, 0, lambda value: value["op"] == "x"
        )
        assert (await store.get("domain", "d1")).version == version

    _run(scenario)


def test_all_pages_of_a_listing_are_read():
    async def scenario(api, store):
        names = [f"n{i:03}" for i in range(2 * object_api.PAGE_SIZE + 1)]
        for name in names:
            api.write("nodes", name, {})
        listed = await store.list("nodes")
        assert [item.name for item in listed.items] == names

    _run(scenario)


def test_missing_history_raises_its_own_error():
    async def scenario(api, store):
        api.oldest_revision = 100
        with pytest.raises(exceptions.StoreHistoryGone):
            await store.watch("config", 5, 100)

    _run(scenario)


def test_server_list_applies_changes():
    async def scenario(api, store):
        api.write("servers", "i-1", samples.ENTRY)
        api.write("servers", "i-2", {"State": "odd"})
        first = await store.instances()
        assert [raw["id"] for raw in first.instances] == ["i-1"]
        assert [name for name, _ in first.rejected] == ["i-2"]
        api.write("servers", "i-2", samples.ENTRY)
        api.remove("servers", "i-1")
        second = await store.instances(first.revision, 1000)
        assert [raw["id"] for raw in second.instances] == ["i-2"]
        assert not second.rejected

    _run(scenario)
