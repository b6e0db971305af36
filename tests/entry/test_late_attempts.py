"""Guards against late attempts that outlast a stopping node."""

import asyncio
import types

from balsamlug.gateway import durations
from balsamlug.gateway import grace as graces
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets
from tests.entry import kept_callers
from tests.entry import plain_calls

WORK_S = 2.0
GRACE_S = fleets.GRACE_S
# The rest of the grace period is then shorter than the work.
LATE_S = GRACE_S - WORK_S
DEADLINE_MS = 30_000
# A call is sent again when it has no answer after this time.
TARGET_S = 0.3


def _run(scenario, monkeypatch, target_ms=DEADLINE_MS) -> None:
    async def main() -> None:
        async with plain_calls.running(2, 2, target_ms) as plain:
            node = plain.fleet.nodes[0]
            for _ in range(durations.MIN_SAMPLES):
                node.gateway.ctx.durations.record(
                    plain_calls.DURATION_KEY, WORK_S
                )
            await scenario(plain, node, monkeypatch)

    monkeypatch.setitem(plain_calls.ROUTE, "TimeoutMs", DEADLINE_MS)
    asyncio.run(main())


def _arrivals(plain) -> list:
    return [a for server in plain.servers for a in server.arrivals]


async def _call(node) -> kept_callers.Result:
    port = node.peers.settings.caller_port
    caller = kept_callers.KeptCaller(port)
    result = await caller.send("r1", "/calc/", DEADLINE_MS)
    caller.close()
    return result


def test_call_whose_connection_opens_late_is_not_sent(monkeypatch):
    async def scenario(plain, node, monkeypatch):
        connect = node.connector.connect

        async def connect_late(*args, **options):
            node.grace.begin(node.clock.monotonic() - LATE_S, GRACE_S)
            return await connect(*args, **options)

        connector = types.SimpleNamespace(connect=connect_late)
        monkeypatch.setattr(node.gateway.ctx, "connector", connector)
        result = await _call(node)
        assert result.status == 503
        assert result.retry_after_s > 0
        assert not _arrivals(plain)

    _run(scenario, monkeypatch)


def test_slow_answer_is_awaited_when_no_other_attempt_would_end(monkeypatch):
    async def scenario(plain, node, monkeypatch):
        del monkeypatch
        for server in plain.servers:
            server.delays = {"/calc/": 3 * TARGET_S}
        call = asyncio.ensure_future(_call(node))
        await plain.fleet.until(lambda: bool(_arrivals(plain)))
        node.grace.begin(node.clock.monotonic() - LATE_S, GRACE_S)
        assert (await call).status == 200
        assert len(_arrivals(plain)) == 1

    _run(scenario, monkeypatch, int(TARGET_S * 1000))


def test_request_that_a_stopping_node_refused_is_new_to_the_next_one(
    monkeypatch,
):
    async def scenario(plain, node, monkeypatch):
        waited_ms = []

        def log(message_type, **fields):
            if message_type == "request_received":
                waited_ms.append(fields["waited_ms"])

        next_node = plain.fleet.nodes[1]
        monkeypatch.setattr(next_node.gateway.ctx, "log", log)
        await plain.fleet.until(lambda: len(node.state.live_nodes()) == 2)
        node.grace.begin(node.clock.monotonic() - LATE_S, GRACE_S)
        assert (await _call(node)).status == 503
        # The nodes exchange their refusals meanwhile.
        await asyncio.sleep(0.5)
        assert (await _call(next_node)).status == 200
        assert waited_ms == [0]

    _run(scenario, monkeypatch)


def test_call_that_an_upstream_rejects_late_is_not_sent_again(monkeypatch):
    async def scenario(plain, node, monkeypatch):
        del monkeypatch
        for server in plain.servers:
            server.delays = {"/calc/": 0.2}
            server.retry_after = "5"
        call = asyncio.ensure_future(_call(node))
        await plain.fleet.until(lambda: bool(_arrivals(plain)))
        node.grace.begin(node.clock.monotonic() - LATE_S, GRACE_S)
        assert (await call).status == 503
        assert len(_arrivals(plain)) == 1

    _run(scenario, monkeypatch)


def test_call_of_a_route_that_moved_is_not_judged_by_its_former_service(
    monkeypatch,
):
    async def scenario(plain, node, monkeypatch):
        del monkeypatch
        moved = plain_calls.ROUTE | {"Service": "slow"}
        services = [{"Name": plain_calls.SERVICE}, {"Name": "slow"}]
        spec = site.configuration(2, [moved], services, [fleets.KEY])
        server = plain_servers.PlainServer("s-0", plain.fleet.api, "slow")
        await server.listen()
        before = node.state.config_revision
        plain.fleet.api.write("config", "main", spec)
        await plain.fleet.until(
            lambda: (
                node.state.config_revision != before
                and "s-0" in node.state.instances
            )
        )
        rest_s = WORK_S + 1.0
        spent_s = GRACE_S - graces.EXIT_MARGIN_S - rest_s
        node.grace.begin(node.clock.monotonic() - spent_s, GRACE_S)
        assert (await _call(node)).status == 503
        assert not server.arrivals
        server.stop()

    _run(scenario, monkeypatch)
