"""Start a small deployment on loopback and record what happens in it.

Every node is a process of its own, started with the command of the deploy file.
The store runs in the process of the script.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

import attrs

from balsamlug_standins import object_api
from balsamlug_standins import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Bounds of the site files.
DRAIN_MS = 2_000
CONFIG_APPLY_MS = 2_000
STABLE_WINDOW_MS = 3_000
GRACE_S = 8
# Settings name the addresses of so many machines at most.
SEED_NODES = 3
MEMORY_MB = 222
LINK_MBPS = 350
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 40.0
# Time after which a client gives up, beyond its deadline.
CLIENT_SLACK_S = 1.0
_numbers = itertools.count(1)


class CouldNotRun(Exception):
    """The case could not be played."""


def disrupts() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def request_id() -> str:
    """Return a new id of a client attempt."""
    return f"{next(_numbers):04x}{os.urandom(6).hex()}"


@attrs.define
class Record:
    """Events of a play in the order of their time, written to a file."""

    path: pathlib.Path
    violations: list[str] = attrs.field(factory=list)
    _started_s: float = attrs.field(factory=time.monotonic)
    _lines: list[str] = attrs.field(factory=list)

    def note(self, text: str) -> None:
        """Record an event."""
        at_s = time.monotonic() - self._started_s
        self._lines.append(f"{at_s:8.3f} {text}")

    def violation(self, text: str) -> None:
        """Record that the rule was broken."""
        self.violations.append(text)
        self.note(f"BROKEN {text}")

    def save(self) -> None:
        """Write all events to the file."""
        self.path.write_text("\n".join([*self._lines, ""]))


@attrs.frozen
class Answer:
    """Answer to a request, as its client received it.

    Attributes:
      status: 0 if no head arrived.
      complete: whether the body ended as its framing says.
    """

    request: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_s: float


@attrs.define(eq=False)
class Node:
    """One entry process."""

    name: str
    zone: str
    settings: pathlib.Path
    output: pathlib.Path
    caller_port: int
    admin_port: int
    peer_address: str
    metrics_port: int
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BALSAMLUG_SETTINGS": str(self.settings),
        }
        with self.output.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "balsamlug", "entry"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    @property
    def memory_mb(self) -> float:
        """Return the private memory of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^RssAnon:\s+(\d+) kB$", text, re.MULTILINE)
        return int(found[1]) / 1024 if found else 0.0


@attrs.define(eq=False)
class Deployment:
    """Store and nodes of a small deployment."""

    record: Record
    directory: pathlib.Path
    store: object_api.ObjectApi = attrs.field(factory=object_api.ObjectApi)
    nodes: list[Node] = attrs.field(factory=list)
    ports: processes.Ports = attrs.field(factory=processes.Ports)
    store_address: str = ""

    def start_store(self) -> str:
        """Start the store and return its address."""
        self.store_address = self.store.listen()
        return self.store_address

    def add_nodes(self, count: int, zone: str) -> list[Node]:
        """Start the nodes of a zone and return them."""
        added = [
            self._node(f"edge-{zone}-{number + 1}", zone)
            for number in range(count)
        ]
        self.nodes += added
        for node in added:
            self._write_settings(node)
            node.start()
        return added

    def _node(self, name: str, zone: str) -> Node:
        callers, admin, peers, metrics = (self.ports.take() for _ in range(4))
        return Node(
            name,
            zone,
            self.directory / f"{name}.ini",
            self.directory / f"{name}.out",
            callers,
            admin,
            f"{HOST}:{peers}",
            metrics,
        )

    def _write_settings(self, node: Node) -> None:
        """Write the settings of a node, as the template of the project does."""
        seeds = [other.peer_address for other in self.nodes[:SEED_NODES]]
        settings = {
            "id": node.name,
            "failure_domain": node.zone,
            "region": "amhara",
            "address": HOST,
            "caller_address": f"{HOST}:{node.caller_port}",
            "admin_address": f"{HOST}:{node.admin_port}",
            "peer_address": node.peer_address,
            "platform_address": self.store_address,
            "peers": ",".join(seeds),
            "metrics_port": node.metrics_port,
            "grace_s": GRACE_S,
            "retry_share": 0.2,
            "retry_window_s": 10,
            "retry_allowance": 260,
        }
        lines = [f"{field} = {value}" for field, value in settings.items()]
        node.settings.write_text("\n".join(["[entry]", *lines, ""]))

    def operate(self, spec: dict) -> float:
        """Write a configuration; return when it was acknowledged."""
        self.store.write("config", "main", spec)
        self.record.note(f"the store acknowledges version {spec['Version']}")
        return time.monotonic()

    async def ready(self) -> None:
        """Wait until every node is ready."""
        await until(self._all_ready, "readiness")

    async def _all_ready(self) -> bool:
        answers = await asyncio.gather(*(is_ready(n) for n in self.nodes))
        return all(answers)

    def check_alive(self) -> None:
        """Record the processes that ended by themselves."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is not None:
                code = node.process.returncode
                self.record.violation(f"{node.name} ended by itself: {code}")

    def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.store.stop()
        self.ports.release()


async def until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    Raises:
      CouldNotRun: it does not hold in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.1)
    except TimeoutError as exc:
        raise CouldNotRun(f"no {what} after {timeout_s:g} s") from exc


async def is_ready(node: Node) -> bool:
    """Ask a node for its readiness as the platform does."""
    head = f"GET /-/readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    answer = await exchange(node.admin_port, head.encode(), 1.0, "readyz")
    return answer.status == 200


async def exchange(
    port: int, data: bytes, timeout_s: float, request: str
) -> Answer:
    """Send a request on a new connection and return its answer."""
    sent_s = time.monotonic()
    status, headers, body, complete = 0, {}, bytearray(), False
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            status, headers = await read_head(reader)
            async for part in read_body(reader, headers):
                body += part
            complete = True
    except (OSError, EOFError, ValueError, TimeoutError):
        complete = False
    finally:
        if writer is not None:
            writer.transport.abort()
    return Answer(request, status, headers, bytes(body), complete, sent_s)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    """Return status and headers of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.rstrip("\r\n").split("\r\n")
    pairs = (field.partition(":") for field in fields)
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    return int(line.split(" ")[1]), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]):
    """Yield the parts of a body as they arrive."""
    if "content-length" in headers:
        length = int(headers["content-length"])
        if length:
            yield await reader.readexactly(length)
        return
    if headers.get("transfer-encoding") != "chunked":
        while data := await reader.read(65536):
            yield data
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def play(folder: str, case: Callable[[Deployment], Awaitable[None]]) -> None:
    """Play a case and exit with its result."""
    processes.exit_on_sigterm()
    record = Record(pathlib.Path(folder) / "record.txt")
    with tempfile.TemporaryDirectory() as directory:
        code = asyncio.run(_play(record, case, pathlib.Path(directory)))
    record.note(f"exit code {code}")
    record.save()
    print(f"exit code {code}, {len(record.violations)} violations")
    for text in record.violations[:10]:
        print(f"  {text}")
    sys.exit(code)


async def _play(
    record: Record,
    case: Callable[[Deployment], Awaitable[None]],
    directory: pathlib.Path,
) -> int:
    deployment = Deployment(record, directory)
    record.note(f"played with TROUBLE={int(disrupts())}")
    try:
        await case(deployment)
    except (CouldNotRun, TimeoutError, OSError) as exc:
        record.note(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        return NOT_RUN
    finally:
        with contextlib.suppress(Exception):
            deployment.stop()
        if keep := os.environ.get("KEEP_OUTPUT"):
            for node in deployment.nodes:
                target = pathlib.Path(keep) / node.output.name
                target.write_bytes(node.output.read_bytes())
    return BROKEN if record.violations else HELD
