"""Guards the object API against excessive calls of one node."""

import asyncio
import random

from balsamlug import clock as clocks
from balsamlug.controller import pacing
from balsamlug.controller import watchers
from tests import cluster as clusters


def test_token_bucket_allows_a_burst_and_then_its_rate():
    clock = clocks.ManualClock()
    bucket = pacing.TokenBucket(clock, rate=2.0, burst=3.0)
    assert [bucket.reserve() for _ in range(5)] == [0, 0, 0, 0.5, 1.0]
    clock.advance(10.0)
    assert [bucket.reserve() for _ in range(4)] == [0, 0, 0, 0.5]


def test_backoff_grows_to_its_maximum_and_restarts_after_a_success():
    backoff = pacing.Backoff(random.Random(1), first_s=1.0, maximum_s=4.0)
    delays = [backoff.next_delay() for _ in range(5)]
    bounds = [1.0, 2.0, 4.0, 4.0, 4.0]
    pairs = list(zip(delays, bounds, strict=True))
    assert all(bound / 2 <= delay <= bound for delay, bound in pairs)
    backoff.reset()
    assert backoff.next_delay(minimum_s=5.0) <= 6.0


def test_store_calls_during_an_outage_are_rate_limited():
    async def run():
        cluster = clusters.Cluster(1)
        cluster.store.down = True
        await cluster.start()
        await asyncio.sleep(2.0)
        allowed = watchers.CALL_BURST + 2.0 * watchers.CALLS_PER_S
        assert 3 <= cluster.store.calls <= allowed
        await cluster.stop()

    asyncio.run(run())
