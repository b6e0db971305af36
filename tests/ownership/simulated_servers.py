"""Model servers in memory that execute orders as the platform specifies.

They record which member was ever ready in which group, generation and member
list, and check each request that begins to run against it.
"""

import asyncio
import random

import attrs

from balsamlug import exceptions
from balsamlug.platform import listing

MODEL = "m"
SIZE = 3
DOMAIN = "d1"
SERVICE = "s"
REJOIN_S = 0.2
WARM_S = 0.5
LOAD_S = 1.0
FORM_S = 0.05
# The entry of a silent server is removed after three heartbeats.
EXPIRY_S = 3.6
MAX_REPORT_LAG_S = 0.5
FIRST_BORN = 1_700_000_000_000


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    now_s = 100.0

    def time(self):
        return self.now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.now_s = max(self.now_s, self._scheduled[0].when())
        super()._run_once()


@attrs.define
class LoopClock:
    loop: VirtualLoop

    def monotonic(self):
        return self.loop.now_s

    def wall_ms(self):
        return FIRST_BORN + int(self.loop.now_s * 1000)


@attrs.define(eq=False)
class Server:
    """One life of a server; a restart replaces it."""

    site: "Site"
    id: str
    address: str
    born: int
    staged: list = attrs.field(factory=list)
    up: bool = True
    draining: bool = False
    silent_to: set = attrs.field(factory=set)
    group: dict | None = None
    members: tuple = ()
    last_model: str = ""
    sequence: int = 0
    fencing: int = 0
    epoch: int = 0
    lists: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)

    def entry(self):
        entry = {
            "Service": SERVICE,
            "Address": self.address,
            "Zone": "z",
            "Version": "v1",
            "WarmupLeftMs": 0,
            "BatchSlots": 4,
            "State": "draining" if self.draining else "ready",
            "Domain": DOMAIN,
            "Models": [{"Name": self.last_model}] if self.last_model else [],
            "Staged": list(self.staged),
            "Sequence": self.sequence,
            "born": self.born,
        }
        return entry | ({"group": dict(self.group)} if self.group else {})

    def report(self):
        """Return the state as of up to some hundred milliseconds ago."""
        oldest_s = (
            self.site.loop.now_s - self.site.rng.random() * MAX_REPORT_LAG_S
        )
        known = self.history[0][1]
        for since_s, entry in self.history:
            if since_s <= oldest_s:
                known = entry
        return known

    def changed(self):
        entry = self.entry()
        self.history.append((self.site.loop.now_s, entry))
        del self.history[:-20]
        self.site.announce(self, entry)

    def order(self, body):
        if body.get("FencingToken", 0) < self.fencing:
            return 412
        self.fencing = body["FencingToken"]
        status = getattr(self, f"_{body['Op'].lower()}")(body)
        if status == 202:
            self.sequence += 1
            self.changed()
        return status

    def key(self):
        return self.group["Name"], self.group["epoch"], self.members

    def _join(self, body):
        name, epoch = body["group"], body["epoch"]
        members = tuple(body["Members"])
        if epoch < self.epoch:
            return 412
        if self.lists.setdefault((name, epoch), members) != members:
            return 412
        if self.group and self.key() == (name, epoch, members):
            return 200
        self.epoch = epoch
        self.members = members
        self.group = {
            "Name": name,
            "epoch": epoch,
            "rank": members.index(self.id) if self.id in members else 0,
            "State": "joining",
        }
        self.site.counts["joins"] += 1
        self.site.loop.call_later(
            self._join_s(body["Model"]), self._joined, self.group, body["Model"]
        )
        return 202

    def _join_s(self, model):
        if model == self.last_model:
            return REJOIN_S
        return WARM_S if model in self.staged else LOAD_S

    def _joined(self, group, model):
        if self.up and self.group is group:
            self.last_model = model
            self.staged = [model]
            group["State"] = "ready"
            self.site.record_ready(self)
            self.changed()

    def _open(self, body):
        if not self._is_named(body) or self.group["State"] != "ready":
            return 200 if self._is_named(body, "open") else 409
        self.site.loop.call_later(FORM_S, self._opened, self.group)
        return 202

    def _opened(self, group):
        if self.up and self.group is group and group["State"] == "ready":
            group["State"] = "open"
            self.site.record_open(self)
            self.changed()

    def _leave(self, body):
        if not self._is_named(body):
            return 200
        self.group, self.members = None, ()
        return 202

    def _phase(self, body):
        self.staged = [*self.staged, body["Model"]][-2:]
        return 202

    def _is_named(self, body, state=None):
        group = self.group
        return (
            group is not None
            and (group["Name"], group["epoch"])
            == (body["group"], body["epoch"])
            and state in (None, group["State"])
        )


class Site:
    """Servers by address, the list of the store, and the checker.

    Attributes:
      ready: id, group name, epoch and member list of each member that was ever
        ready.
      broken: requests that began to run in a group with a member that was
        never ready, or of another size.
      reports_name_instance: whether a server rejects a request for a report
        that is for another server. The protocol states it for orders only.
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random):
        self.loop = loop
        self.rng = rng
        self.servers = {}
        self.listed = {}
        self.lost_links = set()
        self.cut_from_store = set()
        self.revision = 0
        self.births = 0
        self.ready = set()
        self.broken = []
        self.counts = dict.fromkeys(("joins", "opens", "runs", "late"), 0)
        self.reports_name_instance = bool(rng.getrandbits(1))
        self.orders_lost = rng.choice((0.0, 0.05, 0.2))

    def start(self, name, address, staged=()):
        self.births += 1
        born = FIRST_BORN + int(self.loop.now_s * 1000) + self.births
        server = Server(self, name, address, born, list(staged))
        self.servers[address] = server
        server.changed()
        return server

    def stop(self, server):
        """End a server; its entry is removed later."""
        server.up = False
        if self.servers.get(server.address) is server:
            del self.servers[server.address]
        self.loop.call_later(EXPIRY_S, self.expire, server)

    def expire(self, server):
        known = self.listed.get(server.id)
        is_written = server.up and server.id not in self.cut_from_store
        if (
            known is not None
            and known["born"] == server.born
            and not is_written
        ):
            del self.listed[server.id]
            self.revision += 1

    def announce(self, server, entry):
        if server.id not in self.cut_from_store and server.up:
            self.listed[server.id] = entry
            self.revision += 1

    def instances(self):
        return [listing.instance(n, e) for n, e in self.listed.items()]

    async def connect(self, node, address):
        """Return the server at an address once a connection is open."""
        await asyncio.sleep(self.rng.choice((0.002, 0.02, 0.25)))
        server = self.servers.get(address)
        if server is None or node in server.silent_to:
            raise exceptions.UpstreamUnreachable("no answer")
        return server

    def run(self, server, model):
        """Begin to run a request and check its group."""
        if server.group is None or server.group["State"] != "open":
            return False
        self.counts["runs"] += 1
        missing = self._never_ready(server)
        if missing or len(server.members) != SIZE:
            self.broken.append(
                (self.loop.now_s, server.id, server.key(), missing)
            )
        return model == server.last_model

    def record_ready(self, server):
        self.ready.add((server.id, *server.key()))

    def record_open(self, server):
        self.counts["opens"] += 1
        missing = self._never_ready(server)
        if missing:
            self.broken.append(
                (self.loop.now_s, server.id, server.key(), missing)
            )

    def _never_ready(self, server):
        key = server.key()
        return [m for m in server.members if (m, *key) not in self.ready]
