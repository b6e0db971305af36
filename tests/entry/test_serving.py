"""Plays losses and outages against whole entry processes and stand-ins."""

import asyncio

from balsamlug_standins import members
from tests.entry import fleet as fleets

EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
)


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with fleets.running(**sizes) as fleet:
            await scenario(fleet)

    asyncio.run(main())


def test_a_group_is_formed_and_serves_a_whole_stream():
    async def scenario(fleet):
        await fleet.ready()
        resp = await fleet.ask()
        assert resp.code == 200
        assert resp.body.decode() == EVENTS
        assert resp.headers["X-Attempt-Id"] == "r1"
        assert resp.headers["X-Server-Seal"]

    _run(scenario)


def test_a_head_is_opened_only_after_every_member_was_ready():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        name, epoch = head.group["Name"], head.group["epoch"]
        for member in head.members:
            assert (name, epoch, "ready") in fleet.servers[member].history

    _run(scenario)


def test_a_lost_member_is_replaced_and_its_stream_goes_on():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        asked = asyncio.ensure_future(fleet.ask())
        await fleet.until(lambda: bool(head.started_attempts))
        victim = fleet.servers[head.members[1]]
        victim.become_unresponsive()
        await fleet.until(
            lambda: any(victim.id not in h.members for h in fleet.open_heads())
        )
        resp = await asked
        assert resp.body.decode() == EVENTS
        again = await fleet.ask(request_id="r2")
        assert again.body.decode() == EVENTS

    _run(scenario)


def test_no_request_reaches_a_group_with_a_lost_member():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        # No spare is left that could replace it.
        fleet.servers[head.members[2]].become_unresponsive()
        fleet.api.remove("servers", head.members[2])
        await fleet.until(
            lambda: (
                not any(
                    n.groups.candidates(fleets.MODEL, frozenset())
                    for n in fleet.nodes
                )
            )
        )
        resp = await fleet.ask()
        assert resp.code == 503
        assert float(resp.headers["Retry-After"]) > 0
        assert not head.started_attempts

    _run(scenario, engines=3)


def test_groups_serve_while_the_store_is_down():
    async def scenario(fleet):
        await fleet.ready()
        fleet.api.down = True
        await asyncio.sleep(0.5)
        resp = await fleet.ask(node=1)
        assert resp.body.decode() == EVENTS

    _run(scenario)


def test_a_configuration_reaches_a_node_that_the_store_refuses():
    async def scenario(fleet):
        await fleet.ready()
        refused = fleet.nodes[1]
        await refused.watchers.stop()
        fleet.api.write("config", "main", fleets.configuration(9, Name="new"))
        await fleet.until(lambda: refused.state.catalogue.revision == 9)

    _run(scenario)


def test_a_key_that_was_taken_away_is_refused():
    async def scenario(fleet):
        await fleet.ready()
        spec = fleets.configuration(5) | {
            "Tenants": [{"Name": "customer", "ApiKeys": ["another"]}]
        }
        fleet.api.write("config", "main", spec)
        node = fleet.nodes[0]
        await fleet.until(lambda: node.state.catalogue.revision == 5)
        assert (await fleet.ask()).code == 401
        assert (await fleet.ask(key="another")).code == 200

    _run(scenario)


def test_a_node_without_configuration_refuses_and_is_not_ready():
    async def scenario(fleet):
        resp = await fleet.ask()
        assert resp.code == 503
        assert fleet.nodes[0].obstacle() == "no configuration"

    _run(scenario, nodes=1, configured=False)


def test_a_stopping_node_lets_its_streams_end():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        asked = asyncio.ensure_future(fleet.ask(node=1))
        await fleet.until(lambda: bool(head.started_attempts))
        stopped = asyncio.ensure_future(fleet.nodes[1].stop())
        await asyncio.sleep(0)
        assert fleet.nodes[1].obstacle() == "stopping"
        resp = await asked
        assert resp.body.decode() == EVENTS
        await stopped

    _run(scenario)


def test_a_caller_that_leaves_ends_the_run():
    async def scenario(fleet):
        await fleet.ready()
        asked = asyncio.ensure_future(fleet.ask())
        (head,) = fleet.open_heads()
        await fleet.until(lambda: bool(head.started_attempts))
        fleet.http.close()
        asked.cancel()
        await fleet.until(lambda: fleet.nodes[0].gateway.in_flight == 0)

    _run(scenario)


def test_another_node_takes_over_from_a_holder_that_ends():
    async def scenario(fleet):
        await fleet.ready()
        record = fleet.nodes[0].state.domains["d1"]
        holder = record.value["lease"]["holder"]
        first = next(n for n in fleet.nodes if n.settings.id == holder)
        await first.close()
        (head,) = fleet.open_heads()
        victim = head.members[1]
        fleet.servers[victim].become_unresponsive()
        fleet.api.remove("servers", victim)
        await fleet.until(
            lambda: any(victim not in h.members for h in fleet.open_heads())
        )

    _run(scenario)


def test_a_member_that_is_cut_off_from_the_store_stays_in_its_group():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        epoch = head.group["epoch"]
        fleet.api.remove("servers", head.members[1])
        await asyncio.sleep(3.0)
        (same,) = fleet.open_heads()
        assert (same.id, same.group["epoch"]) == (head.id, epoch)
        assert (await fleet.ask(node=1)).code == 200

    _run(scenario)


def test_another_member_leads_when_the_head_is_cut_off_from_the_store():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        members_before = set(head.members)
        head.cut_off = True
        fleet.api.remove("servers", head.id)
        await fleet.until(lambda: head not in fleet.open_heads())
        await fleet.until(lambda: bool(fleet.open_heads()))
        (new,) = fleet.open_heads()
        assert set(new.members) == members_before
        await fleet.ready()
        assert (await fleet.ask(node=1)).code == 200

    _run(scenario)


def test_status_and_explain_read_what_a_node_knows():
    """Guards operators against commands that see nothing on the platform."""

    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        # The name on the wire ends with the generation.
        group = head.group["Name"].rpartition(".")[0]
        status = await fleet.admin("/admin/status")
        (shown,) = [
            domain["groups"][group]
            for domain in status["domains"].values()
            if group in domain["groups"]
        ]
        assert shown["ready"]
        assert set(shown["members"]) == set(head.members)
        told = await fleet.admin(f"/admin/explain?subject={group}")
        assert any(group in line for line in told["reasons"])
        assert (await fleet.admin("/-/readyz"))["ready"]

    _run(scenario)
