"""Guards the wiring of admission control in entry processes."""

import asyncio

import pytest

from balsamlug.gateway import admission
from balsamlug.gateway import loads
from tests.entry import fleet as fleets

KEYS = loads.offered_key(fleets.MODEL)


def _offered(node) -> int:
    now_s = node.clock.monotonic()
    return sum(node.loads.totals(KEYS, now_s).values())


def _sent_on_time(node) -> float:
    labels = {"reason": admission.ON_TIME}
    registry = node.metrics.registry
    return registry.get_sample_value("balsamlug_admissions_total", labels) or 0


@pytest.mark.parametrize("enabled", [False, True])
def test_option_decides_whether_requests_are_counted_as_demand(enabled):
    async def main():
        async with fleets.running(overload_control=enabled) as fleet:
            await fleet.ready()
            if enabled:
                known = asyncio.create_task(
                    fleet.until(lambda: _offered(fleet.nodes[1]) == 1)
                )
            resp = await fleet.send_request(node=0)
            assert resp.code == 200
            assert _sent_on_time(fleet.nodes[0]) == enabled
            if enabled:
                # The other node hears of the request, and forgets it.
                await known
            await fleet.until(lambda: not any(map(_offered, fleet.nodes)))

    asyncio.run(main())


@pytest.mark.parametrize(("target_ms", "samples"), [(3000, 1), (1, 0)])
def test_late_requests_do_not_count_as_errors_of_the_prediction(
    target_ms, samples
):
    """Guards requests on time against a correction that late ones keep up.

    Late requests wait behind others, which the prediction leaves out.
    """

    async def main():
        route = {"TargetLatencyMs": target_ms}
        async with fleets.running(overload_control=True, route=route) as fleet:
            await fleet.ready()
            resp = await fleet.send_request()
            assert resp.code == 200
            errors = fleet.nodes[0].gateway.ctx.admission._errors
            kept = errors._samples.get(fleets.MODEL, ())
            assert len(kept) == samples

    asyncio.run(main())
