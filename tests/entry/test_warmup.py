"""Guards cold servers against the requests of all nodes, also resumed ones."""

import asyncio
import functools
import json
import time

from balsamlug.gateway import loads
from balsamlug.gateway import ramp
from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from bench import cold_starts
from tests.entry import fleet as fleets
from tests.entry import plain_calls

NODES = 2
PER_S = 4.0
SETTINGS = {"warmup_overshoot": 1.5, "warmup_slack": 2.0}
BOUND = PER_S * SETTINGS["warmup_overshoot"] + SETTINGS["warmup_slack"]
SEND_INTERVAL_S = 0.02
REQUESTS = 200
COLD_MS = 60_000
# Far more than run at once, so that no ramp ends within a test.
SLOTS = 64


def _configuration(version: int) -> dict:
    model = site.model_service(SLOTS) | {"WarmupPerS": PER_S, "WarmupS": 60}
    plain = {"Name": plain_calls.SERVICE, "WarmupPerS": PER_S}
    routes = [site.STREAM, plain_calls.ROUTE]
    return site.configuration(version, routes, [model, plain], [fleets.KEY])


async def _all_cold(fleet: fleets.Fleet) -> None:
    def is_known(node) -> bool:
        listed = node.state.instances.values()
        return all(i.warmup_left_ms for i in listed if i.service)

    await fleet.until(lambda: all(map(is_known, fleet.nodes)))
    # What was sent before the nodes knew is over.
    await asyncio.sleep(1.0)


async def _send_all(send) -> list:
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(SEND_INTERVAL_S)
    return await asyncio.gather(*tasks)


def _check(arrivals: list[float], responses: list) -> None:
    assert arrivals
    assert cold_starts.largest_second(arrivals) <= BOUND
    refused = [r for r in responses if r.code != 200]
    assert refused
    for resp in refused:
        assert json.loads(resp.body)["error"]["code"] == "warming_up"
        assert 0 < float(resp.headers["Retry-After"]) <= 2


def test_head_of_a_group_gets_no_more_streams_than_permitted():
    async def scenario() -> None:
        async with fleets.running(3, NODES, **SETTINGS) as fleet:
            await fleet.ready()
            fleet.api.write("config", "main", _configuration(2))
            for server in fleet.servers.values():
                server.warmup_left_ms = COLD_MS
                server.announce()
            await _all_cold(fleet)
            since_s = time.monotonic()
            responses = await _send_all(
                lambda n: fleet.send_request(n % NODES, f"r{n}")
            )
            (head,) = fleet.open_heads()
            _check([t for t, _ in head.arrivals if t >= since_s], responses)

    asyncio.run(scenario())


def test_plain_server_gets_no_more_calls_than_permitted():
    async def scenario() -> None:
        async with fleets.running(
            0, NODES, configured=False, **SETTINGS
        ) as fleet:
            fleet.api.write("config", "main", _configuration(1))
            server = plain_servers.PlainServer(
                "c-0", fleet.api, plain_calls.SERVICE, warmup_left_ms=COLD_MS
            )
            await server.listen()
            plain = plain_calls.PlainFleet(fleet, [server])
            await fleet.until(plain.is_listed)
            await _all_cold(fleet)
            responses = await _send_all(lambda n: plain.call("/calc/1", n))
            _check([t for t, _ in server.arrivals], responses)
            server.stop()

    asyncio.run(scenario())


def test_without_settings_a_cold_server_gets_every_call():
    async def scenario() -> None:
        async with plain_calls.running(
            NODES, 1, 500, warmup_left_ms=COLD_MS
        ) as plain:
            fleet = plain.fleet
            fleet.api.write("config", "main", _configuration(2))
            await fleet.until(
                lambda: all(n.state.config_revision == 2 for n in fleet.nodes)
            )
            responses = await _send_all(lambda n: plain.call("/calc/1", n))
            assert {resp.code for resp in responses} == {200}

    asyncio.run(scenario())


def _add_group(fleet: fleets.Fleet) -> None:
    for number in range(site.GROUP_SIZE, 2 * site.GROUP_SIZE):
        members.Member(
            f"i-{number}",
            fleet.api,
            domain="d2",
            slots=SLOTS,
            peers=fleet.servers,
        ).listen()


def test_first_events_of_a_group_that_starts_are_counted_over_all_nodes():
    async def scenario() -> None:
        member = functools.partial(members.Member, slots=SLOTS)
        async with fleets.running(
            3, NODES, False, member, adaptive_ramp=True
        ) as fleet:
            fleet.api.write("config", "main", _configuration(1))
            await fleet.ready()
            (established,) = fleet.nodes[0].groups.complete()
            # To nodes that have just started, no group is new.
            await asyncio.sleep(ramp.SETTLE_S + 1)
            _add_group(fleet)
            await fleet.until(
                lambda: all(len(n.groups.complete()) == 2 for n in fleet.nodes)
            )
            responses = await _send_all(
                lambda n: fleet.send_request(n % NODES, f"r{n}")
            )
            assert {resp.code for resp in responses} == {200}
            complete = fleet.nodes[0].groups.complete()
            (group,) = [key for key in complete if key != established]
            key = loads.on_time_key(*group)
            own = [node.loads.local[key] for node in fleet.nodes]
            assert sum(own) > max(own)
            await fleet.until(
                lambda: all(
                    node.loads.total(key, node.clock.monotonic()) == sum(own)
                    for node in fleet.nodes
                )
            )

    asyncio.run(scenario())
