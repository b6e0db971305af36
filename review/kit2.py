"""Small deployment for the scripts of the second review.

Entry processes are started with the command of the deploy file, and settings
as its template gives them. Store, servers, clients and the network are
stand-ins on loopback addresses.
"""

import asyncio
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ROUTE_HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# Bounds of the site file, in seconds.
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
GRACE_S = 8
HELD, BROKEN, NOT_RUN = 0, 1, 2

_TEMPLATE = """[entry]
id = {name}
failure_domain = {zone}
region = r1
address = 127.0.0.1
caller_address = 127.0.0.1:{caller}
admin_address = 127.0.0.1:{admin}
peer_address = 127.0.0.1:{peer}
platform_address = {store}
peers = {peers}
metrics_port = {metrics}
grace_s = {grace}
retry_share = 0.2
retry_window_s = 10
retry_allowance = 282
memory_mb = 222
max_fds = 1570
cpu_share = 0.731
cpu_cores = 1
"""


class CaseCouldNotRun(Exception):
    """The deployment did not come up, so the rule was not tested."""


class Record:
    """Lines of `record.txt`, with the time since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def __call__(self, kind: str, **fields: object) -> float:
        """Write one line and return its time."""
        now_s = self.now()
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s:9.3f} {kind} {words}\n")
        self._file.flush()
        return now_s

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Ports:
    """Free ports, each kept until a process is to listen there."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a port that is free for TCP and UDP."""
        while True:
            with socket.socket() as tcp:
                tcp.bind((HOST, 0))
                port = tcp.getsockname()[1]
            if port not in self._taken and _is_free_for_udp(port):
                self._taken.add(port)
                return port


def _is_free_for_udp(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        try:
            udp.bind((HOST, port))
        except OSError:
            return False
    return True


class Entry:
    """One entry process."""

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, ports: Ports
    ) -> None:
        self.name = name
        self.zone = zone
        self.caller_port = ports.take()
        self.admin_port = ports.take()
        self.peer_port = ports.take()
        self.metrics_port = ports.take()
        self._settings = folder / f"{name}.ini"
        self._log_path = folder / f"{name}.log"
        self._log = self._log_path.open("ab")
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, peers: list[str]) -> None:
        """Write the settings file."""
        text = _TEMPLATE.format(
            name=self.name,
            zone=self.zone,
            caller=self.caller_port,
            admin=self.admin_port,
            peer=self.peer_port,
            metrics=self.metrics_port,
            store=store,
            peers=",".join(peers),
            grace=GRACE_S,
        )
        self._settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {"PATH": os.environ["PATH"], "HOME": str(self._settings.parent)}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BALSAMLUG_SETTINGS"] = str(self._settings)
        self.process = subprocess.Popen(
            ["python3", "-m", "balsamlug", "entry"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log_lines(self) -> list[dict]:
        """Return the structured lines that the process has written."""
        lines = []
        for raw in self._log_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(raw))
        return lines

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()


class Link(asyncio.Protocol):
    """One side of a proxied connection."""

    def __init__(self, proxy: "Proxy", other: "Link | None" = None) -> None:
        self.proxy = proxy
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self.held = bytearray()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connect the other side."""
        self.transport = transport
        if self.other is None:
            self.proxy.links.add(self)
            asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        other = Link(self.proxy, self)
        try:
            await loop.create_connection(
                lambda: other, HOST, self.proxy.target_port
            )
        except OSError:
            self.transport.abort()
            return
        self.other = other
        if self.held and not self.silent:
            other.transport.write(bytes(self.held))
            self.held.clear()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on unless the connection is silent."""
        if self.silent:
            return
        self.proxy.on_data(self, data)
        if self.other is None or self.other.transport is None:
            self.held += data
        else:
            self.other.transport.write(data)

    def eof_received(self) -> bool:
        """Pass the end on; a silent connection shows none."""
        return self.silent

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side unless the connection is silent."""
        del exc
        self.proxy.links.discard(self)
        other = self.other
        if other is not None and other.transport and not self.silent:
            other.transport.close()


class Proxy:
    """TCP proxy whose open connections can go silent for good."""

    def __init__(self) -> None:
        self.target_port = 0
        self.links: set[Link] = set()
        self.on_data: Callable[[Link, bytes], None] = lambda link, data: None
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Link(self), HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Let all open connections go silent; return their number."""
        links = list(self.links)
        for link in links:
            link.silent = True
            if link.other is not None:
                link.other.silent = True
        return len(links)

    def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for link in list(self.links):
            link.transport.abort()


class Store:
    """Store of the platform, as PROTOCOL describes it.

    Attributes:
      history_s: how long changes can be watched.
      page_bytes: size of a page of a listing, more or less.
      calls: number of calls by their first words.
      era: rises with each return from a copy.
      is_away: every call is answered 503.
    """

    def __init__(self, history_s: float = 20.0) -> None:
        self.history_s = history_s
        self.page_bytes = 1_000_000
        self.revision = 10
        self.calls: dict[str, int] = {}
        self.era = 1
        self.is_away = False
        self._objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        # Time, revision, kind and name of each change.
        self._changes: list[tuple[float, int, str, str]] = []
        self._forgotten = 10
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def write(self, kind: str, name: str, spec: dict) -> int:
        """Write an object for the operator or a server."""
        return self.write_raw(kind, name, json.dumps(spec).encode())

    def write_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object whose value is the given bytes."""
        known = self._objects.get((kind, name))
        if known is not None and known[1] == spec:
            return known[0]
        self._objects[kind, name] = self._note(kind, name), spec
        return self.revision

    def copy(self) -> tuple[int, dict]:
        """Return a copy of all objects, with its revision."""
        return self.revision, dict(self._objects)

    def restore(self, copied: tuple[int, dict]) -> None:
        """Come back from a copy."""
        self.era += 1
        self.revision, self._objects = copied[0], dict(copied[1])
        self._changes.clear()
        self._forgotten = self.revision
        self.is_away = False

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        if self._objects.pop((kind, name), None) is not None:
            self._note(kind, name)

    def read(self, kind: str, name: str) -> dict | None:
        """Return the value of an object, for checks."""
        known = self._objects.get((kind, name))
        return json.loads(known[1]) if known is not None else None

    def _note(self, kind: str, name: str) -> int:
        self.revision += 1
        self._changes.append((time.monotonic(), self.revision, kind, name))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _forget(self) -> None:
        oldest_s = time.monotonic() - self.history_s
        while self._changes and self._changes[0][0] < oldest_s:
            self._forgotten = self._changes.pop(0)[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, _, body = await read_request(reader)
                status, answer = await self._answer(line, body)
                head = (
                    f"HTTP/1.1 {status} -\r\nStore-Era: {self.era}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n"
                )
                writer.write(head.encode() + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line: str, body: bytes) -> tuple[int, bytes]:
        if self.is_away:
            return 503, b"{}"
        method, target, _ = line.split(" ", 2)
        path, _, raw_query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(raw_query))
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        call = f"{method} {kind}{' watch' if 'Watch' in query else ''}"
        self.calls[call] = self.calls.get(call, 0) + 1
        if method == "GET" and name:
            return self._object_answer(kind, name)
        if method == "GET" and "Watch" in query:
            wait_s = int(query.get("WaitMs", 0)) / 1000
            return await self._watch(kind, int(query["Watch"]), wait_s)
        if method == "GET":
            return 200, self._list(kind, query.get("After", ""))
        if method in ("POST", "PUT"):
            return self._put(kind, json.loads(body))
        return 400, b"{}"

    def _object_answer(self, kind: str, name: str) -> tuple[int, bytes]:
        if (kind, name) not in self._objects:
            return 404, b"{}"
        return 200, self._object(kind, name)

    def _put(self, kind: str, body: dict) -> tuple[int, bytes]:
        name = body["Metadata"]["Name"]
        expected = body["Metadata"].get("Revision", 0)
        known = self._objects.get((kind, name))
        if (known[0] if known else 0) != expected:
            found = self._object(kind, name) if known else b"{}"
            return 409, found
        self.write(kind, name, body["Spec"])
        return 200, self._object(kind, name)

    def _object(self, kind: str, name: str) -> bytes:
        revision, spec = self._objects[kind, name]
        metadata = json.dumps({"Name": name, "Revision": revision}).encode()
        return b'{"Metadata":%b,"Spec":%b,"Status":null}' % (metadata, spec)

    def _list(self, kind: str, after: str) -> bytes:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        entries, size = [], 0
        for name in names:
            entry = self._object(kind, name)
            if entries and size + len(entry) > self.page_bytes:
                break
            entries.append(entry)
            size += len(entry)
        more = len(entries) < len(names)
        return b'{"Entries":[%b],"More":%b,"CurrentRev":%d}' % (
            b",".join(entries),
            b"true" if more else b"false",
            self.revision,
        )

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, bytes]:
        until_s = time.monotonic() + wait_s
        while True:
            self._forget()
            if since < self._forgotten or since > self.revision:
                return 410, b"{}"
            names = {
                name: None
                for _, revision, of_kind, name in self._changes
                if revision > since and of_kind == kind
            }
            left_s = until_s - time.monotonic()
            if names or left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        events = [self._event(kind, name) for name in names]
        return 200, b'{"events":[%b],"CurrentRev":%d}' % (
            b",".join(events),
            self.revision,
        )

    def _event(self, kind: str, name: str) -> bytes:
        if (kind, name) in self._objects:
            return b'{"Removed":false,"Object":%b}' % self._object(kind, name)
        metadata = json.dumps({"Metadata": {"Name": name}}).encode()
        return b'{"Removed":true,"Object":%b}' % metadata


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return request line, headers and body of a request with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return line, headers, await reader.readexactly(length)


class PlainServer:
    """Server of a plain service, which follows PROTOCOL.

    Attributes:
      work_s: how long a request runs.
      leaving: it has reported `draining`; all answers say so.
      runs: id, start and end of each request that began to run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: "Store",
        record: Record,
        zone: str = "z1",
        work_s: float = 0.045,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.leaving = False
        self.runs: list[dict] = []
        self.arrivals: list[tuple[float, str]] = []
        self._store = store
        self._record = record
        self._zone = zone
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen and register in the store."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        self._register("ready")

    def _register(self, state: str) -> None:
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self._zone,
            "Version": "v1",
            "BatchSlots": self._slots,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": 0,
            "born": self._born,
        }
        self._store.write("servers", self.name, entry)

    def drain(self) -> float:
        """Report `draining`; return when the store has accepted that."""
        self.leaving = True
        self._register("draining")
        return self._record("draining", server=self.name)

    def end(self) -> None:
        """Exit, as after the drain time; running requests are cut."""
        self._server.close()
        cut = [run for run in self.runs if run["end"] is None]
        self._record("server_exits", server=self.name, running=len(cut))
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._store.remove("servers", self.name)

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
        line, headers, body = await read_request(reader)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            await send_answer(
                writer, 421, attempt, [("X-Not-Executed", "1")], b""
            )
            return
        run = {"id": attempt, "start": self._record.now(), "end": None}
        run |= {"line": line, "body": body}
        self.runs.append(run)
        self.arrivals.append((run["start"], attempt))
        self._record("runs", server=self.name, id=attempt, leaving=self.leaving)
        await asyncio.sleep(self.work_s)
        run["end"] = self._record.now()
        more = [("X-Server-Seal", f"seal.{attempt}")]
        if self.leaving:
            more.append(("Server-Leaving", "1"))
        await send_answer(
            writer, 200, attempt, more, f"done {attempt}".encode()
        )


async def send_answer(
    writer: asyncio.StreamWriter,
    status: int,
    attempt: str,
    more: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Send an answer with a length."""
    fields = [("X-Attempt-Id", attempt), *more]
    fields += [("Content-Length", str(len(body))), ("Connection", "close")]
    lines = [f"HTTP/1.1 {status} -"] + [f"{k}: {v}" for k, v in fields]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()


class Answer:
    """What a client got: a status, or 0 if the connection ended early."""

    def __init__(
        self,
        status: int = 0,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length; an incomplete one has status 0."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.split("\r\n")
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return Answer()
    return Answer(int(line.split(" ")[1]), headers, body)


def request_bytes(
    path: str,
    attempt: str,
    deadline_ms: int,
    key: str = KEY,
    method: str = "POST",
    body: bytes = b"booking",
    more: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """Return the bytes of a client's request."""
    fields = [
        ("Host", ROUTE_HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Api-Key", key),
        ("Content-Length", str(len(body))),
        *more,
    ]
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_once(port: int, data: bytes, timeout_s: float = 10.0) -> Answer:
    """Send one request on a new connection."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return Answer(-1)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        writer.close()


async def is_ready(entry: Entry) -> bool:
    """Return whether an entry says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(HOST, entry.admin_port)
    except OSError:
        return False
    try:
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(1.0):
            return b" 200 " in await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


class Deployment:
    """Store, servers and entries of one case."""

    def __init__(self, case: str) -> None:
        self.folder = pathlib.Path(case).resolve().parent
        self.record = Record(self.folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.ports = Ports()
        self.store = Store()
        self.proxy = Proxy()
        self.entries: list[Entry] = []

    async def start(
        self, config: dict, entries: int = 2, zones: tuple[str, ...] = ("z1",)
    ) -> None:
        """Write the configuration and start the entries."""
        self.store.write("config", "main", config)
        self.proxy.target_port = await self.store.start()
        await self.proxy.start()
        for number in range(entries):
            zone = zones[number % len(zones)]
            entry = Entry(f"edge-{number}", zone, self.temporary, self.ports)
            self.entries.append(entry)
        peers = [f"{HOST}:{entry.peer_port}" for entry in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(f"{HOST}:{self.proxy.port}", peers)
            entry.start()
        for entry in self.entries:
            await self.until_ready(entry)

    async def until_ready(self, entry: Entry, timeout_s: float = 30.0) -> None:
        """Wait until an entry is ready.

        Raises:
          CaseCouldNotRun: it did not become ready.
        """
        until_s = time.monotonic() + timeout_s
        while not await is_ready(entry):
            if time.monotonic() > until_s:
                raise CaseCouldNotRun(f"{entry.name} is not ready")
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes and remove what was written."""
        for entry in self.entries:
            entry.end()
        self.proxy.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def plain_route(
    name: str, prefix: str, service: str, kind: str = "unsafe", **more: object
) -> dict:
    """Return a route to a plain service, as on the sheets."""
    route = {
        "Name": name,
        "Hostname": ROUTE_HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 2,
    }
    return route | more


def configuration(
    routes: list[dict], services: list[dict], version: int = 1
) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 30000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def main(
    case: str, play: Callable[[Deployment, bool], "asyncio.Future[bool]"]
) -> None:
    """Play a case and exit with its result.

    Args:
      play: plays the case with or without its disruption and returns whether
        the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        deployment = Deployment(case)
        try:
            held = await play(deployment, has_trouble)
        except CaseCouldNotRun as exc:
            deployment.record("could_not_run", reason=exc)
            return NOT_RUN
        finally:
            deployment.stop()
        return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))
