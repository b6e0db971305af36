"""Guards the exchange of lease renewals of many domains."""

import asyncio

from balsamlug.messages import types
from tests import cluster as clusters

# Their renewals exceed a frame.
DOMAINS = 4_000
EXCHANGED_S = 10.0


def _update(number: int, renewal: int) -> types.DomainUpdate:
    lease = {"holder": "node-0", "epoch": 1, "renewal": renewal}
    return types.DomainUpdate(f"d{number}", renewal, {"lease": lease})


def _renewals(node) -> set[int]:
    return {item.version for item in node.state.domains.values()}


def test_renewals_of_many_domains_in_one_batch_are_sent():
    async def run():
        cluster = clusters.Cluster(2)
        cluster.store.configure(1)
        await cluster.start()
        first, second = cluster.nodes.values()
        try:
            await clusters.until(cluster.agreed, EXCHANGED_S)
            for renewal in (1, 2):
                now_s = first.clock.monotonic()
                for number in range(DOMAINS):
                    first.state.publish(_update(number, renewal), now_s)
                await clusters.until(
                    lambda expected=renewal: (
                        _renewals(second) == {expected}
                        and len(second.state.domains) == DOMAINS
                    ),
                    EXCHANGED_S,
                )
            assert not cluster.protocol_errors()
        finally:
            await cluster.stop()

    asyncio.run(run())
