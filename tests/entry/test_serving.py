"""Tests entry processes against stand-ins through losses and outages."""

import asyncio

from balsamlug.health import listed as listing
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


def test_group_is_formed_and_serves_a_complete_stream():
    async def scenario(fleet):
        await fleet.ready()
        resp = await fleet.send_request()
        assert resp.code == 200
        assert resp.body.decode() == EVENTS
        assert resp.headers["X-Attempt-Id"] == "r1"
        assert resp.headers["X-Server-Seal"]

    _run(scenario)


def test_head_is_opened_only_after_all_members_are_ready():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        name, epoch = head.group["Name"], head.group["epoch"]
        for member in head.members:
            assert (name, epoch, "ready") in fleet.servers[member].history

    _run(scenario)


def test_lost_member_is_replaced_and_its_stream_resumes():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        request = asyncio.ensure_future(fleet.send_request())
        await fleet.until(lambda: bool(head.started_attempts))
        victim = fleet.servers[head.members[1]]
        victim.become_unresponsive()
        await fleet.until(
            lambda: any(victim.id not in h.members for h in fleet.open_heads())
        )
        resp = await request
        assert resp.body.decode() == EVENTS
        # The first answer may end before the nodes know the repaired group.
        await fleet.ready()
        second = await fleet.send_request(request_id="r2")
        assert second.body.decode() == EVENTS

    _run(scenario)


def test_no_request_reaches_a_group_with_a_lost_member():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        # No spare is left to replace the lost member.
        fleet.servers[head.members[2]].become_unresponsive()
        fleet.api.remove("servers", head.members[2])
        await fleet.until(
            lambda: (
                not any(
                    n.groups.candidates(
                        fleets.SERVICE, fleets.MODEL, frozenset()
                    )
                    for n in fleet.nodes
                )
            )
        )
        resp = await fleet.send_request()
        assert resp.code == 503
        assert float(resp.headers["Retry-After"]) > 0
        assert not head.started_attempts

    _run(scenario, engines=3)


def test_groups_serve_while_the_store_is_down():
    async def scenario(fleet):
        await fleet.ready()
        fleet.api.down = True
        await asyncio.sleep(0.5)
        resp = await fleet.send_request(node=1)
        assert resp.body.decode() == EVENTS

    _run(scenario)


def test_node_without_store_receives_the_configuration_from_peers():
    async def scenario(fleet):
        await fleet.ready()
        refused = fleet.nodes[1]
        await refused.watchers.stop()
        fleet.api.write("config", "main", fleets.configuration(9, Name="new"))
        await fleet.until(lambda: refused.state.catalogue.revision == 9)

    _run(scenario)


def test_revoked_key_is_refused():
    async def scenario(fleet):
        await fleet.ready()
        spec = fleets.configuration(5) | {
            "Tenants": [{"Name": "customer", "ApiKeys": ["another"]}]
        }
        fleet.api.write("config", "main", spec)
        node = fleet.nodes[0]
        await fleet.until(lambda: node.state.catalogue.revision == 5)
        assert (await fleet.send_request()).code == 401
        assert (await fleet.send_request(key="another")).code == 200

    _run(scenario)


def test_node_without_configuration_is_not_ready():
    async def scenario(fleet):
        resp = await fleet.send_request()
        assert resp.code == 503
        assert fleet.nodes[0].not_ready_reason() == "no configuration"

    _run(scenario, nodes=1, configured=False)


def test_stopping_node_completes_its_streams():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        request = asyncio.ensure_future(fleet.send_request(node=1))
        await fleet.until(lambda: bool(head.started_attempts))
        stopped = asyncio.ensure_future(fleet.nodes[1].stop())
        await asyncio.sleep(0)
        assert fleet.nodes[1].not_ready_reason() == "stopping"
        resp = await request
        assert resp.body.decode() == EVENTS
        await stopped

    _run(scenario)


def test_disconnected_caller_ends_the_request():
    async def scenario(fleet):
        await fleet.ready()
        request = asyncio.ensure_future(fleet.send_request())
        (head,) = fleet.open_heads()
        await fleet.until(lambda: bool(head.started_attempts))
        fleet.http.close()
        request.cancel()
        await fleet.until(lambda: fleet.nodes[0].gateway.in_flight == 0)

    _run(scenario)


def test_another_node_takes_over_from_a_stopped_lease_holder():
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


def test_member_without_store_connection_stays_in_its_group():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        epoch = head.group["epoch"]
        fleet.api.remove("servers", head.members[1])
        await asyncio.sleep(3.0)
        (same,) = fleet.open_heads()
        assert (same.id, same.group["epoch"]) == (head.id, epoch)
        assert (await fleet.send_request(node=1)).code == 200

    _run(scenario)


def test_head_without_store_connection_is_replaced_by_a_member():
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
        assert (await fleet.send_request(node=1)).code == 200

    _run(scenario)


def test_member_that_answers_again_is_used_before_its_suspicion_expires():
    async def scenario(fleet):
        await fleet.ready()
        (head,) = fleet.open_heads()
        for node in fleet.nodes:
            assert node.listed.suspect(head.members[1])
            node.groups.invalidate()
        async with asyncio.timeout(listing.FAILED_PROBE_LIFETIME_S / 2):
            await fleet.ready()

    _run(scenario, engines=3)


def test_status_and_explain_show_the_state_of_a_node():
    """Guards against commands that show operators nothing on the platform."""

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
        explanation = await fleet.admin(f"/admin/explain?subject={group}")
        assert any(group in line for line in explanation["reasons"])
        assert (await fleet.admin("/-/readyz"))["ready"]

    _run(scenario)


def test_counters_are_served_on_the_declared_metrics_port():
    async def scenario(fleet: fleets.Fleet) -> None:
        port = fleet.nodes[0].settings.metrics_port
        resp = await fleet.http.fetch(f"http://127.0.0.1:{port}/metrics")
        assert b"balsamlug_store_calls_total" in resp.body

    _run(scenario)
