"""Model servers that form groups, for the scripts of the second review."""

import asyncio
import contextlib
import json
import time

from review import kit2

SERVICE = "coach"
MODEL = "m0"
SIZE = 3
STALL_S = 4.0
# A join with the model of the last group, one with staged weights, and a load.
REJOIN_S = 0.2
WARM_S = 0.5
LOAD_S = 1.0
FORM_S = 0.1
ORDER_S = 0.01
EVENTS = 20
EVENT_S = 0.05
SERVING = ("open", "closing")
_NOT_RUN = [("X-Not-Executed", "1")]


class Fleet:
    """All model servers, and what breaks the rule on groups."""

    def __init__(self, store: kit2.Store, record: kit2.Record) -> None:
        self.store = store
        self.record = record
        self.members: dict[str, Member] = {}
        self.broken_rules: list[str] = []

    async def add(self, name: str, domain: str = "d1") -> "Member":
        """Start a server."""
        member = Member(name, self, domain)
        self.members[name] = member
        await member.start()
        return member


class Member:
    """One model server, which follows PROTOCOL."""

    def __init__(self, name: str, fleet: Fleet, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.fleet = fleet
        self.port = 0
        self.is_up = False
        self.staged: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self.group: dict | None = None
        self.list: list[str] = []
        self.last_model = ""
        self.sequence = 0
        self.fence = 0
        self.epoch = 0
        # When this head began to stand still.
        self.still_s: float | None = None

    async def start(self) -> None:
        """Listen, at the same port after a crash, and register."""
        self._server = await asyncio.start_server(
            self._serve, kit2.HOST, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.announce()

    async def crash(self, down_s: float) -> None:
        """End, and start again under the same id."""
        self.fleet.record("crash", server=self.name)
        self.is_up = False
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._begin_life()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.fleet.record("started_again", server=self.name, born=self.born)

    def entry(self) -> dict:
        """Return what the server says of itself."""
        entry = {
            "Service": SERVICE,
            "Address": f"{kit2.HOST}:{self.port}",
            "Zone": "z1",
            "Version": "v1",
            "BatchSlots": 13,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Phase": "mixed",
            "Domain": self.domain,
            "Models": [{"Name": self.last_model}] if self.last_model else [],
            "Staged": list(self.staged),
            "Sequence": self.sequence,
            "born": self.born,
        }
        return entry | ({"group": dict(self.group)} if self.group else {})

    def announce(self) -> None:
        """Write the entry to the store."""
        self.fleet.store.write("servers", self.name, self.entry())

    def is_whole(self) -> bool:
        """Return whether all members of this head's group are in it."""
        others = [self.fleet.members.get(name) for name in self.list]
        return all(
            o is not None
            and o.is_up
            and o.group is not None
            and o.group["Name"] == self.group["Name"]
            for o in others
        )

    def holds_its_group(self) -> bool:
        """Return whether this head is open, closing or stands still."""
        if not (self.is_up and self.group and self.group["rank"] == 0):
            return False
        return self.group["State"] in SERVING

    def _order(self, body: dict) -> int:
        token = body.get("FencingToken", 0)
        if token < self.fence:
            return 412
        self.fence = token
        handler = getattr(self, f"_order_{body['Op'].lower()}", None)
        return handler(body) if handler else 400

    def _order_join(self, body: dict) -> int:
        name, epoch, members = body["group"], body["epoch"], body["Members"]
        if epoch < self.epoch:
            return 412
        current = self.group
        if current and (current["Name"], current["epoch"]) == (name, epoch):
            return 200 if members == self.list else 412
        if current:
            self._check_two(name)
        self.epoch = epoch
        self.list = list(members)
        rank = members.index(self.name)
        self.group = {"Name": name, "epoch": epoch, "rank": rank}
        self.group["State"] = "joining"
        self._begin()
        self._run(self._finish_join(body["Model"], self.group))
        return 202

    def _check_two(self, joins: str) -> None:
        head = self.fleet.members.get(self.list[0])
        if head is None or not head.holds_its_group():
            return
        if head.group["Name"] != self.group["Name"]:
            return
        text = (
            f"{self.name} joins {joins} while {head.name}, the head of"
            f" {self.group['Name']}, is {head.group['State']}"
        )
        self.fleet.broken_rules.append(text)
        self.fleet.record("TWO", what=text.replace(" ", "_"))

    async def _finish_join(self, model: str, group: dict) -> None:
        rejoins, warm = model == self.last_model, model in self.staged
        await asyncio.sleep(REJOIN_S if rejoins else WARM_S if warm else LOAD_S)
        if self.group is group:
            self.last_model, self.staged = model, [model]
            group["State"] = "ready"
            self.announce()

    def _order_open(self, body: dict) -> int:
        group = self.group
        if not group or group["Name"] != body["group"]:
            return 409
        if group["State"] in SERVING:
            return 200
        if group["State"] != "ready":
            return 409
        self._begin()
        self._run(self._finish_open(group))
        return 202

    async def _finish_open(self, group: dict) -> None:
        await asyncio.sleep(FORM_S)
        if self.group is group:
            group["State"] = "open"
            self.announce()
            self._run(self._watch_members(group))

    async def _watch_members(self, group: dict) -> None:
        """Break the group after it has stood still for long enough."""
        still_s = 0.0
        while self.group is group and still_s < STALL_S:
            await asyncio.sleep(EVENT_S)
            still_s = 0.0 if self.is_whole() else still_s + EVENT_S
        if self.group is group:
            group["State"] = "broken"
            self.announce()

    def _order_leave(self, body: dict) -> int:
        if not self.group or self.group["Name"] != body["group"]:
            return 200
        self.group, self.list = None, []
        self._begin()
        return 202

    def _order_phase(self, body: dict) -> int:
        if body["Model"] in self.staged:
            return 200
        self._begin()
        self._run(self._finish_staging(body["Model"]))
        return 202

    async def _finish_staging(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = [model]
        self.announce()

    def _begin(self) -> None:
        self.sequence += 1
        self.announce()

    def _run(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line, headers, body = await kit2.read_request(reader)
        path = line.split(" ")[1]
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            await kit2.send_answer(writer, 421, attempt, _NOT_RUN, b"")
        elif path == "/-/report":
            report = self.entry() | {"Active": 0, "Queued": 0}
            data = json.dumps(report).encode()
            await kit2.send_answer(writer, 200, attempt, [], data)
        elif path == "/-/order":
            await asyncio.sleep(ORDER_S)
            order = json.loads(body)
            status = self._order(order)
            words = {k: v for k, v in order.items() if k != "Members"}
            text = json.dumps(words).replace(" ", "")
            self.fleet.record(
                "order", server=self.name, status=status, order=text
            )
            await kit2.send_answer(writer, status, attempt, [], b"{}")
        else:
            await self._stream(headers, attempt, writer)

    async def _stream(
        self,
        headers: dict[str, str],
        attempt: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        group = self.group
        if not group or group["rank"] or group["State"] != "open":
            status = 503 if group and not group["rank"] else 421
            await kit2.send_answer(writer, status, attempt, _NOT_RUN, b"")
            return
        self.fleet.record("runs", server=self.name, id=attempt)
        fields = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Server-Seal: seal.{attempt}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(fields.encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            while self.group is group and not self.is_whole():
                await asyncio.sleep(EVENT_S)
            if self.group is not group:
                self.fleet.record("cut", server=self.name, id=attempt)
                writer.transport.abort()
                return
            event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def route() -> dict:
    """Return the route of the streams."""
    return {
        "Name": "chat",
        "Hostname": kit2.ROUTE_HOST,
        "PathPrefix": "/chat/",
        "RouteType": "streaming",
        "TimeoutMs": 6000,
        "TargetLatencyMs": 250,
        "GapTargetMs": 200,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "StreamResume": True,
    }


def service() -> dict:
    """Return the service of the model servers."""
    model = {
        "Name": MODEL,
        "size": SIZE,
        "Share": 1.0,
        "pace": 1.0,
        "LoadS": LOAD_S,
        "WarmS": WARM_S,
    }
    engine = {
        "BatchSlots": 13,
        "KvCapacity": 1_235_000,
        "Stride": 6,
        "Models": [model],
        "step_ms": 6.45,
        "per_seq_ms": 0.0967,
        "read_per_s": 56_100.0,
        "LoadsPerS": 4,
        "loads_at_once": 8,
        "usual": {"prompt": 674, "answer": 180},
        "FormMs": FORM_S * 1000,
    }
    return {"Name": SERVICE, "Engine": engine, "MaxConnections": 600}


async def stream(entry: kit2.Entry, attempt: str) -> tuple[int, bool]:
    """Send one stream; return its status and whether it was complete."""
    more = (
        ("X-Model", MODEL),
        ("X-Token-Count", "674,120"),
        ("X-Prefix-Hash", f"5c1e07a2:40,{abs(hash(attempt)):x}:634"),
    )
    data = kit2.request_bytes("/chat/1", attempt, 6000, more=more)
    answer = b""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(
            kit2.HOST, entry.caller_port
        )
        writer.write(data)
        async with asyncio.timeout(7.0):
            while not answer.endswith(b"0\r\n\r\n"):
                piece = await reader.read(65536)
                answer += piece
                if not piece or b"Content-Length" in answer:
                    break
        writer.close()
    words = answer.split(b" ", 2)
    status = int(words[1]) if len(words) > 2 else 0
    return status, answer.endswith(b"0\r\n\r\n")


class Clients:
    """Clients that send streams to all entries in turn."""

    def __init__(self, deployment: kit2.Deployment, pause_s: float) -> None:
        self.results: dict[str, tuple[int, bool]] = {}
        self._deployment = deployment
        self._pause_s = pause_s
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Begin to send."""
        self._run(self._send())

    def stop(self) -> None:
        """Leave all streams."""
        for task in list(self._tasks):
            task.cancel()

    def _run(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self) -> None:
        entries = self._deployment.entries
        number = 0
        while True:
            entry = entries[number % len(entries)]
            number += 1
            self._run(self._call(entry, f"{entry.name}.{number}"))
            await asyncio.sleep(self._pause_s)

    async def _call(self, entry: kit2.Entry, attempt: str) -> None:
        status, whole = await stream(entry, attempt)
        self.results[attempt] = status, whole
        self._deployment.record(
            "answered", id=attempt, status=status, whole=whole
        )
