"""Injection and removal of each kind of fault.

Each kind of `plan` has a function here that injects the fault, waits for its
duration and ends it.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import random
import signal
import time

from balsamlug_standins import members
from balsamlug_standins import processes
from soak import bounds
from soak import clients
from soak import configuration
from soak import customer_changes
from soak import environment
from soak import layout
from soak import plan
from soak import promises
from soak import refused_readers
from soak import servers
from soak import silent_connections

LOST_STORE_ANSWERS = 3
# How long the store is away before it returns from a copy.
RESTORATION_S = 0.5
# Servers write their list entries at this interval.
HEARTBEAT_S = members.LISTING_TIMEOUT_S / 3


async def inject(env: environment.Environment, fault: plan.Fault) -> None:
    """Wait for the start time of a fault, then inject and end it."""
    await asyncio.sleep(fault.at_s)
    start_s = time.monotonic()
    await _INJECTORS[fault.kind](env, fault)
    env.disrupted.record(fault, start_s, time.monotonic())


async def _node_kill(env, fault) -> None:
    node = env.nodes[fault.target]
    async with node.lock:
        env.check_running(node)
        node.process.kill()
        await asyncio.sleep(fault.for_s)
        node.process.start()


async def _node_pause(env, fault) -> None:
    node = env.nodes[fault.target]
    async with node.lock:
        node.process.pause()
        await asyncio.sleep(fault.for_s)
        node.process.resume()


async def _node_term(env, fault) -> None:
    node = env.nodes[fault.target]
    async with node.lock:
        await _stop_node(env, node)
        await asyncio.sleep(fault.for_s)
        node.process.start()


async def _replace_node(env, fault) -> None:
    node = env.nodes[fault.target]
    async with env.replacing, node.lock:
        await _stop_node(env, node)
        await asyncio.sleep(fault.for_s)
        env.build_of[fault.kind].use(node.process)
        node.process.start()


async def _stop_node(
    env: environment.Environment, node: environment.Node
) -> None:
    env.check_running(node)
    env.stops.append((node.number, time.monotonic()))
    node.process.terminate()
    await _wait_for_exit(env, node)


async def _wait_for_exit(
    env: environment.Environment, node: environment.Node
) -> None:
    deadline_s = time.monotonic() + env.grace_s + environment.EXIT_SLACK_S
    while node.process.running():
        if time.monotonic() > deadline_s:
            env.record.violations.append(
                f"{node.process.name} did not end in its grace"
            )
            node.process.kill()
        await asyncio.sleep(environment.POLL_INTERVAL_S)
    with contextlib.suppress(processes.ProcessFailed):
        node.process.wait_ended()


async def _node_hup(env, fault) -> None:
    node = env.nodes[fault.target]
    async with node.lock:
        # SIGHUP ends a process that has not yet reached the code that ignores
        # the signal.
        while node.process.running() and not node.process.handles(
            signal.SIGHUP
        ):
            await asyncio.sleep(environment.POLL_INTERVAL_S)
        node.process.reload()


async def _link_faults(env, fault) -> None:
    route = _ROUTES_BY_KIND[fault.kind](env, fault.target)
    route.set_faults(**fault.link)
    await asyncio.sleep(fault.for_s)
    route.set_faults()


_ROUTES_BY_KIND = {
    "store_cut": lambda env, target: env.nodes[target].store_link,
    "caller_link": lambda env, target: env.nodes[target].caller_link,
    "server_link": lambda env, target: env.server_link(target),
}


async def _server_dark(env, fault) -> None:
    await _lose_power(env, fault.target, fault.for_s)


async def _cold_restart(env, fault) -> None:
    """Let all servers of a failure domain lose power at the same time."""
    count = len(env.model_and_booking_servers)
    targets = range(fault.target, count, layout.DOMAINS)
    await asyncio.gather(
        *(_lose_power(env, target, fault.for_s) for target in targets)
    )


async def _lose_power(env, target: int, for_s: float) -> None:
    server = env.model_and_booking_servers[target]
    if server.unresponsive or server.is_down:
        return
    server.become_unresponsive()
    expiry = asyncio.create_task(_expire_listing(server))
    await asyncio.sleep(for_s)
    expiry.cancel()
    route = env.server_link(target)
    route.set_faults(reset=True)
    server.restart()
    route.set_faults()
    while server.warmup.left_s():
        await asyncio.sleep(HEARTBEAT_S)
        if not server.unresponsive and not server.is_down:
            server.announce()


async def _expire_listing(
    server: servers.RecordingMember | servers.BookingServer,
) -> None:
    await asyncio.sleep(members.LISTING_TIMEOUT_S)
    server.store.remove("servers", server.id)


async def _evacuation(env, fault) -> None:
    zone = f"z{fault.target}"
    await _until_store_answers(env)
    env.evacuated.add(zone)
    env.write_evacuations()
    acknowledged_s = time.monotonic()
    await asyncio.sleep(fault.for_s)
    await _until_store_answers(env)
    removed_s = time.monotonic()
    env.evacuated.discard(zone)
    env.write_evacuations()
    env.evacuations.append(
        bounds.Evacuation(
            zone, acknowledged_s, removed_s, configuration.EVACUATE_MS / 1000
        )
    )


async def _until_store_answers(env) -> None:
    while env.api.down:
        await asyncio.sleep(environment.POLL_INTERVAL_S)


async def _server_silent(env, fault) -> None:
    server = env.model_and_booking_servers[fault.target]
    if server.unresponsive or server.is_down:
        return
    server.unresponsive = True
    await asyncio.sleep(fault.for_s)
    server.unresponsive = False


async def _store_down(env, fault) -> None:
    env.api.down = True
    env.api.table.changed.notify()
    await asyncio.sleep(fault.for_s)
    env.api.down = False


async def _store_loses_answers(env, fault) -> None:
    del fault
    env.api.lose_answers += LOST_STORE_ANSWERS


async def _store_forgets(env, fault) -> None:
    del fault
    env.api.oldest_revision = env.api.table.revision


async def _store_restored(env, fault) -> None:
    saved = env.api.copy()
    await asyncio.sleep(fault.for_s)
    env.api.down = True
    env.api.table.changed.notify()
    await asyncio.sleep(RESTORATION_S)
    env.api.restore(saved)
    env.api.down = False
    env.write_again()
    # The copy may hold entries of servers that have ended since.
    await asyncio.sleep(members.LISTING_TIMEOUT_S)
    env.remove_lapsed_entries()


async def _head_silent(env, fault) -> None:
    heads = [member for member in env.members if member.is_open()]
    if not heads:
        return
    head = heads[fault.target % len(heads)]
    head.unresponsive = True
    await asyncio.sleep(fault.for_s)
    head.unresponsive = False
    head.announce()


async def _generations_lost(env, fault) -> None:
    """Form groups again, kill all nodes and restore the copy from before."""
    saved = env.api.copy()
    async with contextlib.AsyncExitStack() as stack:
        for head in env.members:
            if head.is_open():
                await _form_again(env, head)
        for node in env.nodes:
            await stack.enter_async_context(node.lock)
            env.check_running(node)
            node.process.kill()
        env.api.down = True
        await asyncio.sleep(fault.for_s)
        env.api.restore(saved)
        env.api.down = False
        env.write_again()
        env.remove_lapsed_entries()
        for node in env.nodes:
            node.process.start()


async def _form_again(env, head: servers.RecordingMember) -> None:
    """Replace the last member of a group by the spare."""
    member = head.peers[head.members[-1]]
    epoch = head.epoch
    member.unresponsive = True
    env.api.remove("servers", member.id)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(members.LISTING_TIMEOUT_S):
            while head.epoch == epoch:
                await asyncio.sleep(environment.POLL_INTERVAL_S)
    member.unresponsive = False
    member.announce()


async def _revoke(env, fault) -> None:
    del fault
    env.revoke_next_key()


async def _version(env, fault) -> None:
    env.variant = fault.variant
    env.write_configuration()


async def _connections_silent(env, fault) -> None:
    rng = random.Random(fault.at_s)
    routes = [node.store_link for node in env.nodes]
    routes += [node.peer_link for node in env.nodes if node.peer_link]
    for route in routes + env.server_links:
        route.silence(lambda: rng.random() < fault.share)


async def _customers_change(env, fault) -> None:
    env.customers = customer_changes.Customers(fault.way)
    env.write_configuration()
    start_s = time.monotonic()
    if fault.restarts:
        await asyncio.sleep(customer_changes.RESTART_DELAY_S)
        await asyncio.gather(*(_restart(env, node) for node in env.nodes))
    await asyncio.sleep(start_s + fault.for_s - time.monotonic())
    env.episodes.append(
        customer_changes.Episode(env.customers, start_s, time.monotonic())
    )
    env.customers = customer_changes.Customers.USUAL
    env.write_configuration()
    await asyncio.sleep(customer_changes.CHECKED_S)


async def _restart(
    env: environment.Environment, node: environment.Node
) -> None:
    kill = plan.Fault("node_kill", 0.0, plan.MIN_FAULT_S, node.number)
    start_s = time.monotonic()
    await _node_kill(env, kill)
    env.disrupted.record(kill, start_s, time.monotonic())


async def _readers_refused(env, fault) -> None:
    rng = random.Random(fault.at_s)
    half_s = fault.for_s / 2
    readers = _choose_readers(env, rng)
    async with _refused(env, readers, fault.way) as release:
        await asyncio.sleep(half_s)
        others = []
        if fault.next_readers != "none":
            others = _choose_readers(env, rng, readers)
        async with _refused(env, others, fault.way):
            if fault.next_readers == "instead":
                release()
            await asyncio.sleep(half_s)


def _choose_readers(
    env: environment.Environment,
    rng: random.Random,
    refused: Collection[environment.Node] = (),
) -> list[environment.Node]:
    """Return nodes that read the store, and are not yet refused."""
    oldest_s = time.monotonic() - refused_readers.READER_S
    readers = [
        node
        for node in env.nodes
        if node not in refused and node.endpoint.last_read_s > oldest_s
    ]
    most = len(env.nodes) - len(refused) - refused_readers.SERVED
    return rng.sample(readers, min(most, len(readers)))


@contextlib.asynccontextmanager
async def _refused(
    env: environment.Environment,
    nodes: Collection[environment.Node],
    way: str,
) -> AsyncIterator[Callable[[], None]]:
    """Let the store turn nodes away, and yield what ends it earlier."""
    start_s = time.monotonic()
    refused = list(nodes)

    def serve() -> None:
        end_s = time.monotonic()
        while refused:
            node = refused.pop()
            env.api.refuse(node.endpoint, 0)
            node.store_link.set_faults()
            env.refusals.append(
                refused_readers.Refusal(node.number, start_s, end_s)
            )

    for node in nodes:
        if way == refused_readers.RESET:
            node.store_link.set_faults(reset=True)
        elif way == refused_readers.SILENCE:
            node.store_link.set_faults(drop=True)
        else:
            env.api.refuse(node.endpoint, int(way))
    try:
        yield serve
    finally:
        serve()


async def _server_leaves(env, fault) -> None:
    server = env.booking_servers[fault.target]
    server.leave(fault.is_announced)
    acknowledged_s = time.monotonic()
    await asyncio.sleep(fault.for_s)
    route = env.routes.routes[server.id]
    route.set_faults(reset=True)
    env.api.remove("servers", server.id)
    env.leaves.append(
        silent_connections.Leave(server.id, acknowledged_s, time.monotonic())
    )
    await asyncio.sleep(silent_connections.ABSENCE_S)
    server.restart()
    route.set_faults()


async def _crashing_part(env, fault):
    start_s = time.monotonic()
    end_s = start_s + fault.for_s
    senders = [
        clients.send_poisonous(
            promises.STREAM,
            node.caller_link.port,
            node.number,
            environment.KEY,
            env.checker.check_answer,
            end_s,
            clients.shared_parts(fault.long_prompts),
        )
        for node in env.nodes
    ]
    await asyncio.gather(*senders)
    env.poisoned = start_s, end_s


_INJECTORS = {
    "node_kill": _node_kill,
    "node_pause": _node_pause,
    "node_term": _node_term,
    "node_hup": _node_hup,
    "store_cut": _link_faults,
    "caller_link": _link_faults,
    "server_link": _link_faults,
    "server_dark": _server_dark,
    "store_down": _store_down,
    "store_loses_answers": _store_loses_answers,
    "store_forgets": _store_forgets,
    "revoke": _revoke,
    plan.VERSION: _version,
    plan.CRASHING_PART: _crashing_part,
    plan.STORE_RESTORED: _store_restored,
    plan.SERVER_SILENT: _server_silent,
    plan.HEAD_SILENT: _head_silent,
    plan.GENERATIONS_LOST: _generations_lost,
    plan.EVACUATION: _evacuation,
    plan.CONNECTIONS_SILENT: _connections_silent,
    plan.SERVER_LEAVES: _server_leaves,
    plan.COLD_RESTART: _cold_restart,
    plan.READERS_REFUSED: _readers_refused,
    plan.CUSTOMERS_CHANGE: _customers_change,
    plan.UPGRADE: _replace_node,
    plan.ROLLBACK: _replace_node,
}
