"""Guards against an answer of one server that is recorded for another."""

import asyncio

import attrs
import eliot
import pytest

from balsamlug import announcements
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import plain
from balsamlug import state
from balsamlug import tables
from balsamlug.entry import orders as entry_orders
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from balsamlug.platform import listing as platform_listing
from balsamlug.platform import requests as platform_requests
from balsamlug.platform import servers as platform_servers
from balsamlug_standins import members
from balsamlug_standins import object_api

JOIN = commands.Join(1, "d1-1", 1, "daka", ("a", "b"))


def _api() -> entry_orders.EngineApi:
    return entry_orders.EngineApi(
        platform_servers.ORDER_PATH,
        platform_servers.REPORT_PATH,
        platform_servers.STALE_STATUS,
        platform_servers.order,
        platform_servers.report,
        platform_requests.expected_instance,
    )


@attrs.define(eq=False)
class _Site:
    """Server "b" at the address under which the list still shows "a"."""

    server: members.Member
    listed: listing.Listed
    sender: entry_orders.OrderSender


def _site(followed_s: float = listing.LIST_DELAY_S) -> _Site:
    """Return a site whose list has been followed for some time."""
    server = members.Member("b", object_api.ObjectApi(), born=20)
    server.listen()
    entry = server.entry()
    fleet = state.FleetState("s")
    fleet.instances = {
        name: plain.instance_from_dict(
            platform_listing.instance(name, entry | {"born": born})
        )
        for name, born in (("a", 10), ("b", 20))
    }
    clock = clocks.ManualClock()
    listed = listing.Listed(fleet, clock)
    listed.refresh()
    clock.advance(followed_s)
    sender = entry_orders.OrderSender(_api(), fleet, listed, clock)
    return _Site(server, listed, sender)


async def _send(site: _Site, instance: str) -> None:
    address = site.server.address
    await site.sender.send(orders.Order(instance, address, JOIN))
    await asyncio.sleep(entry_orders.FIRST_POLL_S + members.REJOIN_S + 0.2)
    site.sender.stop()
    site.server.stop()


def test_order_for_a_former_server_is_not_executed_by_its_successor():
    async def main():
        site = _site()
        await _send(site, "a")
        assert site.server.group is None
        assert announcements.membership_of(site.listed.current("a")) is None

    asyncio.run(main())


def test_order_changes_only_the_view_of_the_server_that_executed_it():
    async def main():
        site = _site()
        await _send(site, "b")
        assert site.server.group["Name"] == "d1-1.1"
        assert announcements.membership_of(site.listed.current("b")).rank == 1
        assert announcements.membership_of(site.listed.current("a")) is None

    asyncio.run(main())


def test_order_is_not_sent_after_the_lease_has_been_lost():
    # The process may be paused while it waits for the connection.
    async def main():
        site = _site()
        lost = orders.Order(
            "b", site.server.address, JOIN, permitted=lambda: False
        )
        with pytest.raises(OSError):
            await site.sender.send(lost)
        site.sender.stop()
        site.server.stop()
        assert site.server.group is None

    asyncio.run(main())


def test_decision_to_open_names_the_state_of_every_member():
    async def main():
        site = _site(followed_s=0.0)
        group = tables.Group("d1-1", "daka", 1, ("a", "b"), "daka", "1")
        value = {"groups": {group.id: group_table.to_value(group)}}
        fleet = site.sender._fleet
        fleet.set_domain(state.DomainObject("d1", 1, value))
        ready = tables.Membership("d1-1", 1, 1, tables.MemberState.READY)
        site.listed.record_report("b", "20", tables.Announcement(ready))
        lines = []
        eliot.add_destinations(lines.append)
        # The first destination of a process also gets all earlier messages.
        lines.clear()
        try:
            command = commands.Open(1, "d1-1", 1)
            await site.sender.send(
                orders.Order("b", site.server.address, command)
            )
        finally:
            eliot.remove_destination(lines.append)
            site.sender.stop()
            site.server.stop()
        (line,) = [n for n in lines if n["message_type"] == "open_decided"]
        assert (line["group"], line["generation"]) == ("d1-1", 1)
        known = [
            (m["instance"], m["incarnation"], m["state"], m["source"])
            for m in line["members"]
        ]
        assert known == [
            ("a", "10", "", "list"),
            ("b", "20", "ready", "report"),
        ]
        assert {m["age_s"] for m in line["members"]} == {0.0}

    asyncio.run(main())


def _lead(site: _Site, generation: int) -> None:
    """Let server "b" lead a group that no list shows yet."""
    site.server.epoch, site.server.orders = generation, 5
    site.server.group = {
        "Name": f"d1-1.{generation}",
        "epoch": generation,
        "rank": 0,
        "State": "open",
    }


def _show(site: _Site, member: tables.Membership | None) -> None:
    """Let the list show a membership of server "b", as in an old copy."""
    instances = site.sender._fleet.instances
    announcement = tables.Announcement(member, orders=1)
    instances["b"] = attrs.evolve(instances["b"], announcement=announcement)
    site.listed.refresh()


async def _leave(site: _Site, generation: int) -> None:
    leave = commands.Leave(9, "d1-1", generation)
    await site.sender.send(orders.Order("b", site.server.address, leave))


FORMER = tables.Membership("d1-1", 1, 0, tables.MemberState.OPEN)


def test_head_that_accepts_to_leave_a_former_group_is_not_taken_for_free():
    # A holder that had just started, with a list from an older copy, ordered
    # the open head of a later group into another one (rule TWO).
    async def main():
        site = _site()
        _lead(site, 2)
        _show(site, FORMER)
        await _leave(site, 1)
        member = announcements.membership_of(site.listed.current("b"))
        assert member is not None
        await asyncio.sleep(0.1)
        member = announcements.membership_of(site.listed.current("b"))
        assert (member.generation, member.state.value) == (2, "open")
        site.sender.stop()
        site.server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("old_reports", [0, 1, 3])
def test_server_that_left_its_group_is_free_once_it_reports_that(old_reports):
    async def main():
        site = _site()
        _lead(site, 1)
        _show(site, FORMER)
        old = ("20", site.listed.current("b").announcement)
        newest = site.sender._api.report
        reports = [old] * old_reports

        async def report(instance, address):
            if reports:
                return reports.pop()
            return await newest(instance, address)

        site.sender._api.report = report
        await _leave(site, 1)
        wait_s = old_reports * entry_orders.POLL_INTERVAL_S + 0.1
        await asyncio.sleep(wait_s)
        assert announcements.membership_of(site.listed.current("b")) is None
        site.sender.stop()
        site.server.stop()

    asyncio.run(main())


def _join(site: _Site) -> orders.Order:
    join = commands.Join(9, "d1-2", 3, "daka", ("b",))
    return orders.Order("b", site.server.address, join)


def test_open_head_that_a_first_list_shows_as_free_joins_no_other_group():
    # The list that a new process reads first may be from an older copy.
    async def main():
        site = _site(followed_s=listing.LIST_DELAY_S / 2)
        _lead(site, 2)
        _show(site, None)
        with pytest.raises(OSError, match="d1-1"):
            await site.sender.send(_join(site))
        assert site.server.group["State"] == "open"
        member = announcements.membership_of(site.listed.current("b"))
        assert (member.group, member.generation) == ("d1-1", 2)
        site.sender.stop()
        site.server.stop()

    asyncio.run(main())


def test_server_that_a_followed_list_shows_as_free_joins_at_once():
    async def main():
        site = _site()
        sent = []

        async def report(instance, address):
            sent.append(instance)
            raise exceptions.UpstreamFailed("no answer")

        site.sender._api.report = report
        await site.sender.send(_join(site))
        assert site.server.group["Name"] == "d1-2.3"
        assert not sent
        site.sender.stop()
        site.server.stop()

    asyncio.run(main())


def test_dispatcher_passes_the_lease_check_to_the_sender():
    sent = []

    async def send(order):
        sent.append(order)
        return 200, {}

    async def main():
        dispatcher = orders.Dispatcher(send, None)
        holds = [True]
        order = orders.Order("b", "h:1", JOIN)
        await dispatcher.deliver(order, lambda: holds[0])
        holds[0] = False
        assert not sent[0].permitted()
        await dispatcher.deliver(order, lambda: holds[0])
        assert len(sent) == 1

    asyncio.run(main())
