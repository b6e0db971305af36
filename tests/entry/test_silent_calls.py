"""Guards calls to sound instances that are silent for a while."""

import asyncio
import collections

import attrs
import pytest

from balsamlug.gateway import calls
from balsamlug_standins import site
from tests.entry import fleet as fleets
from tests.entry import plain_calls

TARGET_MS = 200
SILENCES_S = [0.5, 1.0]
CALLS = 4


async def _call_silent(plain, count: int, silent_s: float) -> list[int]:
    """Send calls while all instances are silent; return the statuses."""
    for server in plain.servers:
        server.silent = True
    tasks = [
        asyncio.create_task(plain.call(f"/calc/{n}", n)) for n in range(count)
    ]
    await asyncio.sleep(silent_s)
    for server in plain.servers:
        server.silent = False
    return [resp.code for resp in await asyncio.gather(*tasks)]


def _run(scenario, instances: int) -> None:
    async def main() -> None:
        async with plain_calls.running(1, instances, TARGET_MS) as plain:
            await scenario(plain)

    asyncio.run(main())


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_call_without_another_instance_outlasts_a_silence(silent_s):
    async def scenario(plain):
        assert await _call_silent(plain, CALLS, silent_s) == [200] * CALLS

    _run(scenario, instances=1)


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_call_without_a_retry_left_in_the_budget_outlasts_a_silence(silent_s):
    async def scenario(plain):
        for node in plain.fleet.nodes:
            node.settings = attrs.evolve(node.settings, retry_allowance=1)
            node.budgets.share = 0.0
        await asyncio.sleep(1.0)
        assert await _call_silent(plain, CALLS, silent_s) == [200] * CALLS

    _run(scenario, instances=2)


def test_late_call_without_a_retry_left_does_not_scan_the_instances(
    monkeypatch,
):
    scans = []

    def choose(candidates, rng, choose=calls.choose):
        scans.append(len(candidates))
        return choose(candidates, rng)

    async def scenario(plain):
        for node in plain.fleet.nodes:
            node.settings = attrs.evolve(node.settings, retry_allowance=0)
            node.budgets.share = 0.0
        await asyncio.sleep(1.1)
        await _call_silent(plain, CALLS, max(SILENCES_S))
        assert len(scans) == CALLS

    monkeypatch.setattr(calls, "choose", choose)
    _run(scenario, instances=2)


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_call_to_silent_instances_runs_no_more_often_than_allowed(silent_s):
    async def scenario(plain):
        assert await _call_silent(plain, CALLS, silent_s) == [200] * CALLS
        arrivals = collections.Counter(
            target for s in plain.servers for _, target in s.arrivals
        )
        assert max(arrivals.values()) <= plain_calls.ROUTE["MaxAttempts"]

    _run(scenario, instances=3)


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_call_that_must_not_be_repeated_outlasts_a_silence(silent_s):
    async def scenario(plain):
        route = plain_calls.ROUTE | {"RouteType": "unsafe", "MaxAttempts": 1}
        spec = site.configuration(
            2, [route], [{"Name": plain_calls.SERVICE}], [fleets.KEY]
        )
        (node,) = plain.fleet.nodes
        before = node.state.config_revision
        plain.fleet.api.write("config", "main", spec)
        await plain.fleet.until(lambda: node.state.config_revision != before)
        assert await _call_silent(plain, CALLS, silent_s) == [200] * CALLS
        targets = [t for server in plain.servers for _, t in server.arrivals]
        assert sorted(targets) == [f"/calc/{n}" for n in range(CALLS)]

    _run(scenario, instances=3)
