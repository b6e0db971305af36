"""Guards against requests in a group with a member that was never ready.

Random histories of simulated servers: restarts under the same and another id,
reused addresses, cuts, lost and late orders, delayed lists and reports, and a
deleted object of the domain. A seed gives the same history only under the same
PYTHONHASHSEED, since the nodes iterate over sets of ids.
"""

import asyncio
import random

import pytest

from balsamlug.messages import types
from tests.ownership import simulated_nodes as nodes
from tests.ownership import simulated_servers as servers

NODES = 3
SERVERS = 8
QUIET_S = 6.0
DURATION_S = 40.0
EVENT_INTERVAL_S = 1.0


class History:
    """One random history."""

    def __init__(self, seed):
        self.loop = servers.VirtualLoop()
        self.rng = random.Random(seed)
        self.site = servers.Site(self.loop, self.rng)
        self.next_id = 0
        self.events = (
            self._restart,
            self._restart,
            self._restart_as_another,
            self._restart_as_another,
            self._reuse_address,
            self._end_and_add,
            self._cut_from_store,
            self._cut_from_store,
            self._restart_while_cut,
            self._cut_from_nodes,
            self._drain,
            self._delay_lists,
            self._isolate_node,
            self._delete_domain,
        )

    async def run(self):
        site, clock = self.site, servers.LoopClock(self.loop)
        store = nodes.Store(site, clock)
        self.store = store
        self.nodes = {}
        for number in range(NODES):
            name = f"n{number}"
            self.nodes[name] = nodes.Node(name, site, store, clock, self.nodes)
        for node in self.nodes.values():
            for number, other in enumerate(self.nodes, start=1):
                address = f"127.0.0.1:{number}"
                update = types.NodeUpdate(other, 1, "up", "r", "f", address)
                node.state.publish(update, clock.monotonic())
        for number in range(SERVERS):
            site.start(self._new_id(), self._address(number), [servers.MODEL])
        tasks = [t for node in self.nodes.values() for t in node.start()]
        await asyncio.sleep(QUIET_S)
        end_s = self.loop.now_s + DURATION_S
        while self.loop.now_s < end_s:
            await asyncio.sleep(self.rng.expovariate(1 / EVENT_INTERVAL_S))
            self.rng.choice(self.events)()
        assert not [t for t in tasks if t.done()]
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _new_id(self):
        self.next_id += 1
        return f"i-{self.next_id}"

    def _address(self, number):
        return f"10.0.0.{number + 1}:80"

    def _pick(self):
        # Members matter more than spares, and heads more than members.
        present = sorted(self.site.servers.values(), key=lambda s: s.address)
        weights = [1 + 2 * (s.group is not None) for s in present]
        return self.rng.choices(present, weights)[0] if present else None

    def _after(self, action, longest_s=2.0):
        self.loop.call_later(self.rng.random() * longest_s, action)

    def _restart(self, cut=False, new_id=None, down_s=2.0):
        server = self._pick()
        if server is None:
            return
        self.site.stop(server)
        name = new_id or server.id
        if cut:
            self.site.cut_from_store.add(name)
            self._after(lambda: self._reconnect(name), 15.0)

        def start():
            if server.address not in self.site.servers:
                self.site.start(name, server.address, server.staged)

        self._after(start, down_s)

    def _restart_as_another(self):
        self._restart(new_id=self._new_id())

    def _restart_while_cut(self):
        name = self._new_id() if self.rng.getrandbits(1) else None
        self._restart(cut=True, new_id=name, down_s=0.3)

    def _reuse_address(self):
        self._restart(new_id=self._new_id(), down_s=0.05)

    def _end_and_add(self):
        server = self._pick()
        if server is not None:
            self.site.stop(server)
            address = f"10.0.1.{self.next_id}:80"
            self._after(lambda: self.site.start(self._new_id(), address), 5.0)

    def _cut_from_store(self):
        server = self._pick()
        if server is None:
            return
        self.site.cut_from_store.add(server.id)
        self.loop.call_later(servers.EXPIRY_S, self.site.expire, server)
        self._after(lambda: self._reconnect(server.id), 15.0)

    def _reconnect(self, name):
        self.site.cut_from_store.discard(name)
        for server in self.site.servers.values():
            if server.id == name:
                server.changed()

    def _cut_from_nodes(self):
        server = self._pick()
        if server is not None:
            names = sorted(self.nodes)
            cut = set(self.rng.sample(names, self.rng.randint(1, NODES)))
            server.silent_to |= cut
            self._after(lambda: server.silent_to.difference_update(cut), 4.0)

    def _drain(self):
        server = self._pick()
        if server is not None:
            server.draining = True
            server.changed()
            self._after(lambda: server.up and self.site.stop(server), 8.0)
            address = f"10.0.2.{self.next_id}:80"
            self._after(lambda: self.site.start(self._new_id(), address), 8.0)

    def _delay_lists(self):
        node = self.rng.choice(sorted(self.nodes))
        self.nodes[node].delay_s = self.rng.choice((0.05, 0.5, 1.5))

    def _isolate_node(self):
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        node.isolated = True
        self._after(lambda: setattr(node, "isolated", False), 6.0)

    def _delete_domain(self):
        self.store.objects.pop(servers.DOMAIN, None)


def play(seed):
    """Play one history and return its site."""
    history = History(seed)
    try:
        asyncio.set_event_loop(history.loop)
        history.loop.run_until_complete(history.run())
    finally:
        asyncio.set_event_loop(None)
        history.loop.close()
    return history.site


@pytest.mark.parametrize("seed", range(1, 5))
def test_requests_run_only_in_groups_whose_members_were_all_ready(seed):
    site = play(seed)
    assert site.counts["runs"]
    assert not site.broken
