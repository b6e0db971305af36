"""Guards against requests sent to a failure domain that is evacuated."""

import asyncio

from tests.entry import evacuating

REQUESTS = 12


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with evacuating.running(**sizes) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def _send(fleet) -> None:
    resps = await asyncio.gather(
        *(
            fleet.send_request(n % len(fleet.nodes), f"r{n}")
            for n in range(REQUESTS)
        )
    )
    assert {resp.code for resp in resps} == {200}


def test_evacuated_domain_gets_no_request_until_it_is_taken_back():
    async def scenario(fleet):
        fleet.api.write(evacuating.KIND, "z1", {})
        async with asyncio.timeout(evacuating.EVACUATE_MS / 1000):
            await fleet.until(lambda: evacuating.all_use(fleet, {"z2"}))
        await _send(fleet)
        assert evacuating.arrivals(fleet, "z1") == 0
        fleet.api.remove(evacuating.KIND, "z1")
        await fleet.until(lambda: evacuating.all_use(fleet, {"z1", "z2"}))
        await _send(fleet)
        assert evacuating.arrivals(fleet, "z1") > 0

    _run(scenario)
