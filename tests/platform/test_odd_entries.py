"""Guards the other entries of a list against one that cannot be read."""

import asyncio

import pytest

from balsamlug.platform import objects
from balsamlug.store import client
from balsamlug_standins import object_api
from tests import odd_values
from tests.platform import samples

CALL_S = 5.0


def _run(scenario) -> None:
    async def main() -> None:
        api = object_api.ObjectApi()
        wire = objects.PlatformWire()
        store = client.ObjectStore(f"http://{api.listen()}", wire=wire)
        try:
            async with asyncio.timeout(CALL_S):
                await scenario(api, store)
        finally:
            store.close()
            api.stop()

    asyncio.run(main())


def _ids(listed) -> list[str]:
    return sorted(raw["id"] for raw in listed.instances)


@pytest.mark.parametrize("name", odd_values.UNREADABLE)
@pytest.mark.parametrize("field", ["Zone", "Unknown"])
def test_unreadable_entry_leaves_the_others_of_its_list(name, field):
    async def scenario(api, store):
        raw = odd_values.entry(field, odd_values.VALUES[name])
        api.write("servers", "i-1", samples.ENTRY)
        api.write_raw("servers", "i-2", object_api.RawSpec(raw))
        api.write("servers", "i-3", samples.ENTRY)
        listed = await store.instances()
        assert _ids(listed) == ["i-1", "i-3"]
        assert [entry for entry, _ in listed.rejected] == ["i-2"]

    _run(scenario)


@pytest.mark.parametrize("name", odd_values.UNREADABLE)
def test_watch_follows_an_entry_that_is_unreadable_for_some_time(name):
    async def scenario(api, store):
        raw = odd_values.entry("Zone", odd_values.VALUES[name])
        api.write("servers", "i-1", samples.ENTRY)
        api.write("servers", "i-2", samples.ENTRY)
        listed = await store.instances()
        api.write_raw("servers", "i-2", object_api.RawSpec(raw))
        api.write("servers", "i-3", samples.ENTRY)
        listed = await store.instances(listed.revision, 1000)
        assert _ids(listed) == ["i-1", "i-3"]
        assert [entry for entry, _ in listed.rejected] == ["i-2"]
        api.write("servers", "i-2", samples.ENTRY)
        listed = await store.instances(listed.revision, 1000)
        assert _ids(listed) == ["i-1", "i-2", "i-3"]
        assert not listed.rejected
        api.write_raw("servers", "i-2", object_api.RawSpec(raw))
        listed = await store.instances(listed.revision, 1000)
        api.remove("servers", "i-2")
        listed = await store.instances(listed.revision, 1000)
        assert _ids(listed) == ["i-1", "i-3"]
        assert not listed.rejected

    _run(scenario)
