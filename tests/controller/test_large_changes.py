"""Guards nodes against changes that are too large for one answer of a watch."""

import asyncio

from balsamlug import tables
from balsamlug.store import client
from balsamlug_standins import object_api
from tests.controller import leaving

ENTRIES = 12
# Of another writer; a value has 1,048,576 bytes at most.
VALUE = object_api.RawSpec(b'"%s"' % (b"x" * 1_000_000))


def test_server_that_drains_after_changes_too_large_to_read_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            for number in range(ENTRIES):
                api.write_raw("servers", f"foreign-{number}", VALUE)
            assert ENTRIES * len(VALUE.data) > client.MAX_ANSWER_BYTES
            await asyncio.sleep(leaving.STABLE_S)
            leaving.drain(api)
            limit_s = leaving.DRAIN_S - leaving.SPREAD_S
            await leaving.seconds_until(
                lambda: leaving.has_left(state), limit_s
            )
            others = [state.instances[name] for name in leaving.SERVERS[1:]]
            live = tables.InstanceState.LIVE
            assert all(item.state is live for item in others)

    asyncio.run(main())
