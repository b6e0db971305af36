"""Guards servers against different requests that share a crashing part."""

import asyncio
import json

from tornado import httpclient

from tests.entry import fleet as fleets

POISON = "poison"
MAX_CRASHES = 4


async def _crash_heads(fleet, crashed) -> None:
    """Stop every server that begins to run a request with the part."""
    while True:
        for server in fleet.servers.values():
            runs = any(a.startswith(POISON) for a in server.started_attempts)
            if runs and not server.unresponsive:
                crashed.append(server.id)
                server.become_unresponsive()
                fleet.api.remove("servers", server.id)
        await asyncio.sleep(0.005)


async def _refusal(fleet, number: int) -> str:
    """Return the code of the refusal of a request, empty without one."""
    headers = {"X-Prefix-Hash": f"shared:10,bad:40,own{number}:9"}
    node = number % len(fleet.nodes)
    try:
        resp = await fleet.send_request(node, f"{POISON}{number}", **headers)
    except httpclient.HTTPError:
        return ""
    if resp.code == 200:
        return ""
    return json.loads(resp.body)["error"]["code"]


def test_different_requests_with_a_crashing_part_are_refused():
    async def scenario():
        async with fleets.running(engines=18) as fleet:
            await fleet.until(lambda: len(fleet.open_heads()) >= 5)
            await fleet.ready()
            crashed = []
            task = asyncio.create_task(_crash_heads(fleet, crashed))
            codes = [await _refusal(fleet, number) for number in range(4)]
            task.cancel()
            assert codes[-1] == "suspected_request", codes
            assert len(crashed) <= MAX_CRASHES

    asyncio.run(scenario())
