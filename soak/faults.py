"""Start and end of each kind of fault."""

import asyncio
import contextlib
import time

from balsamlug_standins import processes
from soak import plan
from soak import servers
from soak import world as worlds

LOST_ANSWERS = 3
# Time from the start of a process to its first instruction, at most.
INTERPRETER_S = 0.1


async def play(world: worlds.World, fault: plan.Fault) -> None:
    """Wait for the start of a fault, then begin and end it."""
    await asyncio.sleep(fault.at_s)
    await _PLAYERS[fault.kind](world, fault)


async def _node_kill(world, fault) -> None:
    node = world.nodes[fault.target]
    async with node.lock:
        node.process.kill()
        await asyncio.sleep(fault.for_s)
        node.process.start()


async def _node_pause(world, fault) -> None:
    node = world.nodes[fault.target]
    async with node.lock:
        node.process.pause()
        await asyncio.sleep(fault.for_s)
        node.process.resume()


async def _node_term(world, fault) -> None:
    node = world.nodes[fault.target]
    async with node.lock:
        node.process.terminate()
        await _ended(world, node)
        await asyncio.sleep(fault.for_s)
        node.process.start()


async def _ended(world: worlds.World, node: worlds.Node) -> None:
    limit_s = time.monotonic() + worlds.TERM_S
    while node.process.running():
        if time.monotonic() > limit_s:
            world.record.violations.append(
                f"{node.process.name} did not end in its grace"
            )
            node.process.kill()
        await asyncio.sleep(worlds.POLL_S)
    with contextlib.suppress(processes.ProcessFailed):
        node.process.wait_ended()


async def _node_hup(world, fault) -> None:
    node = world.nodes[fault.target]
    async with node.lock:
        # Before it runs any code of its own, an interpreter ends by SIGHUP.
        await asyncio.sleep(INTERPRETER_S)
        node.process.reload()


async def _link(world, fault) -> None:
    route = _ROUTES[fault.kind](world, fault.target)
    route.set_faults(**fault.link)
    await asyncio.sleep(fault.for_s)
    route.set_faults()


_ROUTES = {
    "store_cut": lambda world, target: world.nodes[target].store,
    "caller_link": lambda world, target: world.nodes[target].callers,
    "server_link": lambda world, target: world.server_link(target),
}


async def _server_dark(world, fault) -> None:
    member = world.members[fault.target]
    if member.unresponsive:
        return
    member.become_unresponsive()
    lapse = asyncio.create_task(_lapse(member))
    await asyncio.sleep(fault.for_s)
    lapse.cancel()
    route = world.server_link(fault.target)
    route.set_faults(reset=True)
    member.restart()
    route.set_faults()


async def _lapse(member: servers.WatchedMember) -> None:
    await asyncio.sleep(worlds.LAPSE_S)
    member.store.remove("servers", member.id)


async def _store_down(world, fault) -> None:
    world.api.down = True
    world.api.table.changed.notify()
    await asyncio.sleep(fault.for_s)
    world.api.down = False


async def _store_loses_answers(world, fault) -> None:
    del fault
    world.api.lose_answers += LOST_ANSWERS


async def _store_forgets(world, fault) -> None:
    del fault
    world.api.oldest_revision = world.api.table.revision


async def _revoke(world, fault) -> None:
    del fault
    world.revoke()


_PLAYERS = {
    "node_kill": _node_kill,
    "node_pause": _node_pause,
    "node_term": _node_term,
    "node_hup": _node_hup,
    "store_cut": _link,
    "caller_link": _link,
    "server_link": _link,
    "server_dark": _server_dark,
    "store_down": _store_down,
    "store_loses_answers": _store_loses_answers,
    "store_forgets": _store_forgets,
    "revoke": _revoke,
}
