"""Guards against callers whose unfinished requests take a node down.

Each test starts a node as a process of its own. Crowds and bounds were fixed
before the product bounded what it receives; docs/design/receive-limits.md has
the values seen then.
"""

import asyncio
import contextlib
import fcntl
import pathlib
import resource
import subprocess
import sys
import tempfile

import attrs
import pytest

from balsamlug_standins import object_api
from balsamlug_standins import plain_servers
from balsamlug_standins import processes
from balsamlug_standins import site
from tests.entry import fleet as fleets

# One such test at a time on a machine, also under pytest-xdist.
LOCK = pathlib.Path(tempfile.gettempdir()) / "balsamlug-received-crowds.lock"
SETTINGS = """[entry]
id = node-0
failure_domain = z1
region = r1
address = 127.0.0.1
caller_address = 127.0.0.1:{caller}
admin_address = 127.0.0.1:{admin}
peer_address = 127.0.0.1:{peer}
platform_address = {platform}
"""
SERVICE = "calc"
DEADLINE_MS = 8000
START_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 1024 * 1024
CONNECTIONS = 64
MAX_GROWTH_BYTES = 40 * 1024 * 1024
MAX_DESCRIPTORS = 600
# Descriptors that a node may use for anything but files.
MAX_OPEN = MAX_DESCRIPTORS - 200
PIECE_BYTES = 256 * 1024
# A node need not read what a crowd sends.
SEND_TIMEOUT_S = 2.0
# The crowd's bytes that the system buffers are read meanwhile.
SETTLE_S = 1.5
CONFIGURATION = site.configuration(
    1,
    [
        {
            "Name": SERVICE,
            "Hostname": site.HOST,
            "PathPrefix": "/calc/",
            "RouteType": "safe",
            "TimeoutMs": DEADLINE_MS,
            "TargetLatencyMs": DEADLINE_MS,
            "Service": SERVICE,
            "MaxAttempts": 2,
        }
    ],
    [{"Name": SERVICE}],
    [fleets.KEY],
) | {"Limits": {"MaxBodyBytes": MAX_BODY_BYTES}}


def _head(framing: str) -> bytes:
    return (
        f"POST /calc/1 HTTP/1.1\r\nHost: {site.HOST}\r\nX-Attempt-Id: r1\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nApi-Key: {fleets.KEY}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def _chunks(size: int, total: int) -> bytes:
    return (b"%x\r\n%s\r\n" % (size, b"b" * size)) * (total // size)


CHUNKED = _head("Transfer-Encoding: chunked")
SHORT_BYTES = MAX_BODY_BYTES - 48 * 1024
CROWDS = {
    "declared_short": (
        CONNECTIONS,
        _head(f"Content-Length: {MAX_BODY_BYTES}") + b"b" * SHORT_BYTES,
    ),
    "chunked_far_over": (
        CONNECTIONS,
        CHUNKED + _chunks(64 * 1024, 4 * MAX_BODY_BYTES),
    ),
    "large_chunks_left_open": (
        CONNECTIONS,
        CHUNKED + _chunks(64 * 1024, SHORT_BYTES),
    ),
    "small_chunks_left_open": (
        CONNECTIONS,
        CHUNKED + _chunks(2, MAX_BODY_BYTES // 4),
    ),
    "declared_far_over": (
        CONNECTIONS,
        _head(f"Content-Length: {7 * MAX_BODY_BYTES}") + b"b" * SHORT_BYTES,
    ),
    "half_heads": (250, _head("X: ")[:-4] + b"x" * 240 * 1024),
    "idle": (700, b""),
}


@attrs.define
class _Node:
    """A running node and its stand-ins."""

    process: subprocess.Popen
    caller: int

    def memory(self, field: str) -> int:
        """Return a size of the process in bytes, by its name in /proc."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        lines = path.read_text().splitlines()
        line = next(line for line in lines if line.startswith(f"{field}:"))
        return int(line.split()[1]) * 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def call(self) -> int:
        """Make one ordinary call; return its status, 0 without an answer."""
        try:
            async with asyncio.timeout(2 * DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.caller
                )
                body = b"b" * 3000
                writer.write(_head(f"Content-Length: {len(body)}") + body)
                line = await reader.readline()
                writer.close()
                return int(line.split(b" ")[1]) if line else 0
        except (OSError, TimeoutError):
            return 0


@pytest.fixture
def _alone():
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _start(path: pathlib.Path) -> subprocess.Popen:
    """Start a node that may open MAX_DESCRIPTORS."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1]))
    try:
        with (path.parent / "node.log").open("w") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "balsamlug", "entry"]
                + ["--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=processes.ROOT,
            )
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@contextlib.asynccontextmanager
async def _running(path: pathlib.Path):
    api = object_api.ObjectApi()
    platform = api.listen()
    api.write("config", "main", CONFIGURATION)
    server = plain_servers.PlainServer("c-0", api, SERVICE, slots=100)
    await server.listen()
    ports = processes.Ports()
    caller, admin, peer = (ports.take() for _ in range(3))
    settings = path / "node.ini"
    settings.write_text(
        SETTINGS.format(
            caller=caller, admin=admin, peer=peer, platform=platform
        )
    )
    node = _Node(_start(settings), caller)
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await node.call() != 200:
                await asyncio.sleep(0.1)
        yield node
    finally:
        node.process.kill()
        node.process.wait()
        server.stop()
        api.stop()
        ports.release()


async def _join(port: int) -> asyncio.StreamWriter | None:
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        return writer
    return None


async def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send what the node takes of some bytes."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            writer.write(data)
            await writer.drain()


async def _crowd(
    port: int, connections: int, data: bytes
) -> list[asyncio.StreamWriter]:
    """Return connections that have sent some bytes, all at the same pace."""
    joined = await asyncio.gather(*(_join(port) for _ in range(connections)))
    crowd = [writer for writer in joined if writer is not None]
    for start in range(0, len(data), PIECE_BYTES):
        piece = data[start : start + PIECE_BYTES]
        await asyncio.gather(*(_send(writer, piece) for writer in crowd))
    return crowd


@pytest.mark.usefixtures("_alone")
@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_of_unfinished_requests_leaves_a_node_serving(tmp_path, kind):
    connections, data = CROWDS[kind]

    async def scenario() -> None:
        async with _running(tmp_path) as node:
            before = node.memory("VmRSS")
            crowd = await _crowd(node.caller, connections, data)
            during = [await node.call()]
            await asyncio.sleep(SETTLE_S)
            during.append(await node.call())
            descriptors = node.descriptors()
            for writer in crowd:
                writer.transport.abort()
            growth = node.memory("VmHWM") - before
            after = await node.call()
            seen = f"growth {growth >> 20} MiB, {descriptors} descriptors"
            print(f"{seen}, answers {during} {after}")
            assert node.process.poll() is None
            assert growth < MAX_GROWTH_BYTES
            assert descriptors < MAX_OPEN
            assert (during, after) == ([200, 200], 200)

    asyncio.run(scenario())
