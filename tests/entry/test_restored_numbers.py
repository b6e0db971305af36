"""Guards groups when servers have seen higher numbers than the store holds.

A server refuses the epochs of groups, and fencing tokens, below those that it
has seen. A store that returns from an older copy holds lower ones.
"""

import asyncio

import attrs
import pytest

from balsamlug_standins import members
from tests.entry import fleet as fleets

GROUP = 3
# `RecoverS` of the deployments.
RECOVER_S = 12.0
DOMAIN = "d1"
LOST = [1, 3, 5_000, 3 * 2**24, 2**31 + 7]
LOST_TOKENS = [1, 3, 5_000, 10**6]
STEPS = {"epoch": LOST, "fencing_token": LOST_TOKENS}
CASES = [(kind, lost) for kind, values in STEPS.items() for lost in values]


@attrs.define
class _Play:
    """A fleet whose groups serve, and what its servers have seen."""

    fleet: fleets.Fleet
    has_memory: bool

    async def restore(self, saved, servers: list[members.Member]) -> None:
        """Restore the store; servers lose their group, not what they saw."""
        api = self.fleet.api
        api.down = True
        api.table.changed.notify()
        await asyncio.sleep(0.3)
        for server in servers:
            server.group, server.members = None, ()
        api.restore(saved)
        api.down = False
        for server in self.fleet.servers.values():
            server.announce()
        api.write("config", "main", fleets.configuration(2))
        if not self.has_memory:
            await self.fleet.restart_nodes()

    async def serves_again(self) -> None:
        async with asyncio.timeout(RECOVER_S):
            while not await self._is_served():
                await asyncio.sleep(0.1)

    async def _is_served(self) -> bool:
        if not self.fleet.open_heads():
            return False
        answers = [
            await self.fleet.send_request(number, f"s{number}")
            for number in range(len(self.fleet.nodes))
        ]
        return all(answer.code == 200 for answer in answers)


def _run(scenario, has_memory: bool, engines: int = GROUP + 1) -> None:
    async def main() -> None:
        async with fleets.running(engines=engines) as fleet:
            await fleet.ready()
            await scenario(_Play(fleet, has_memory))

    asyncio.run(main())


@pytest.mark.parametrize("has_memory", [True, False])
@pytest.mark.parametrize(("kind", "lost"), CASES)
def test_group_forms_though_servers_have_seen_higher_numbers(
    kind, lost, has_memory
):
    async def scenario(play):
        servers = list(play.fleet.servers.values())
        saved = play.fleet.api.copy()
        for server in servers:
            setattr(server, kind, getattr(server, kind) + lost)
        await play.restore(saved, servers)
        await play.serves_again()

    _run(scenario, has_memory)


@pytest.mark.parametrize("has_memory", [True, False])
@pytest.mark.parametrize("repairs", [1, 2, 3])
def test_group_forms_again_when_the_copy_lacks_its_generations(
    repairs, has_memory
):
    async def scenario(play):
        fleet = play.fleet
        saved = fleet.api.copy()
        for _ in range(repairs):
            await fleet.until(lambda: _is_open(fleet))
            generation = _generation(fleet)
            head = fleet.open_heads()[0]
            member = fleet.servers[head.members[-1]]
            member.become_unresponsive()
            fleet.api.remove("servers", member.id)
            await fleet.until(lambda last=generation: _generation(fleet) > last)
            member.unresponsive = False
            member.announce()
        await fleet.until(lambda: _is_open(fleet))
        await play.restore(saved, [])
        await play.serves_again()
        open_epochs = [h.group["epoch"] for h in fleet.open_heads()]
        await asyncio.sleep(3.0)
        assert [h.group["epoch"] for h in fleet.open_heads()] == open_epochs

    _run(scenario, has_memory)


def _generation(fleet) -> int:
    groups = fleet.api.table.get("domain", DOMAIN)["value"]["groups"]
    return max(group["generation"] for group in groups.values())


def _is_open(fleet) -> bool:
    """Return whether the group serves at the generation in the store."""
    epochs = [head.group["epoch"] for head in fleet.open_heads()]
    return epochs == [_generation(fleet)]


@pytest.mark.parametrize("kind", STEPS)
def test_group_forms_when_the_store_has_lost_its_domain(kind):
    async def scenario(play):
        servers = list(play.fleet.servers.values())
        for server in servers:
            setattr(server, kind, 7_000_000 + getattr(server, kind))
        saved = play.fleet.api.copy()
        del saved.table["domain"]
        await play.restore(saved, servers)
        await play.serves_again()

    _run(scenario, False)


def test_refused_generation_does_not_raise_the_fencing_token():
    async def scenario(play):
        servers = list(play.fleet.servers.values())
        saved = play.fleet.api.copy()
        for server in servers:
            server.epoch += 2
        await play.restore(saved, servers)
        await play.serves_again()
        lease = play.fleet.api.table.get("domain", DOMAIN)["value"]["lease"]
        epoch = lease["epoch"]
        await asyncio.sleep(2.0)
        lease = play.fleet.api.table.get("domain", DOMAIN)["value"]["lease"]
        assert lease["epoch"] == epoch

    _run(scenario, False)
