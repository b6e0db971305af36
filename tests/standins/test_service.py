"""Guards the record of runs.

Checks of at-most-once execution compare responses with it.
"""

import asyncio

import pytest
from tornado import httpclient

from balsamlug_standins import service
from tests.standins import helpers


@pytest.mark.parametrize(
    ("failure", "status", "runs"),
    [
        ("", 200, 1),
        ("refuse", 503, 0),
        ("close_before", None, 0),
        ("close_after", None, 1),
        ("error_after", 500, 1),
    ],
)
def test_record_shows_whether_a_failed_call_ran(failure, status, runs):
    async def run():
        state = service.Service()
        async with helpers.served(service.application(state)) as client:
            await client.post("/control/behaviour", failures=[failure])
            try:
                status_received, _ = await client.post("/book", slot=1)
            except (httpclient.HTTPError, OSError):
                status_received = None
            assert status_received == status
            _, record = await client.call("/control/record")
            assert (len(record["runs"]), record["calls"]) == (runs, 1)

    asyncio.run(run())
