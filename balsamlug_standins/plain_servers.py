"""Stand-in for the instances of a plain service of the users' platform."""

import asyncio
import contextlib
import socket
import struct
import time

import attrs

from balsamlug_standins import object_api
from balsamlug_standins import serving

# The platform removes a server from its list after three missed heartbeats.
LISTING_TIMEOUT_S = 3.6
# Time from the start of a call that crashes its server to the crash.
CRASH_DELAY_S = 0.05
POLL_INTERVAL_S = 0.02
# Connections that fill the queue of a listener with a backlog of 0.
_QUEUED_CONNECTIONS = 2


def entry(
    service: str,
    address: str,
    slots: int = 4,
    born: int = 1,
    warmup_left_ms: float = 0,
) -> dict:
    """Return the entry of a server of a plain service in the list."""
    return {
        "Service": service,
        "Address": address,
        "Zone": "z1",
        "Version": "v1",
        "BatchSlots": slots,
        "State": "ready",
        "WarmupLeftMs": warmup_left_ms,
        "Sequence": 0,
        "born": born,
    }


@attrs.define(eq=False)
class PlainServer:
    """Server that answers calls and ends when one has a crashing target.

    Attributes:
      down_s: time from a crash to the restart at the same address.
      renamed: the server restarts under another id.
      dark: the host answers nothing while the server is down. Otherwise it
        resets connections and refuses new ones.
      crashing_target: target of the calls that crash the server.
      limit: requests per second that the server states to accept from all
        nodes together, None to state none.
      leaving: answers state that the server leaves.
      retry_after: the server rejects calls for this time in seconds, as text.
      warmup_left_ms: how long the server states to remain cold.
      delays: time in seconds that calls with a target take, 0 for others.
      silent: the server accepts calls and answers nothing for now.
      arrivals: time and target of each call that reached the server.
      attempts: id of each call that reached the server.
      crashes: times of the crashes.
    """

    name: str
    api: object_api.ObjectApi
    service: str
    down_s: float = 2.0
    renamed: bool = False
    dark: bool = False
    crashing_target: str = ""
    slots: int = 4
    limit: float | None = None
    leaving: bool = False
    retry_after: str = ""
    silent: bool = False
    warmup_left_ms: float = 0
    born: int = 1
    zone: str = "z1"
    delays: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    attempts: list[str] = attrs.field(factory=list)
    crashes: list[float] = attrs.field(factory=list)
    _id: str = ""
    _address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    _held: list[socket.socket] = attrs.field(factory=list)

    async def listen(self, port: int = 0) -> None:
        """Serve on a loopback port, 0 for a free one, and register."""
        self._server = await asyncio.start_server(
            self._serve, serving.HOST, port, reuse_address=True
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"{serving.HOST}:{port}"
        self._id = f"{self.name}+{self.born}" if self.renamed else self.name
        self.api.write("servers", self._id, self._entry())

    def stop(self) -> None:
        """Stop listening and cancel the restart."""
        for task in self._tasks:
            task.cancel()
        self._release()
        self._server.close()
        self._reset_connections()

    @property
    def is_down(self) -> bool:
        """Return whether the server has crashed and not restarted yet."""
        return not self._server.is_serving()

    def _entry(self) -> dict:
        listed = entry(
            self.service,
            self._address,
            self.slots,
            self.born,
            self.warmup_left_ms,
        )
        return listed | {"Zone": self.zone}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            headers = _headers(head)
            if headers.get("x-expect-instance", self._id) == self._id:
                self.arrivals.append((time.monotonic(), target))
                self.attempts.append(headers.get("x-attempt-id", ""))
                if target == self.crashing_target:
                    await asyncio.sleep(CRASH_DELAY_S)
                    if writer in self._writers:
                        self._crash()
                    return
                await asyncio.sleep(self.delays.get(target, 0.0))
            while self.silent:
                await asyncio.sleep(POLL_INTERVAL_S)
            writer.write(self._answer(headers))
            await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def _answer(self, headers: dict[str, str]) -> bytes:
        attempt = f"X-Attempt-Id: {headers.get('x-attempt-id', '')}\r\n"
        if headers.get("x-expect-instance", self._id) != self._id:
            return (
                f"HTTP/1.1 421 Misdirected Request\r\n{attempt}"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        if self.limit is not None:
            attempt += f"Server-Limit: {self.limit}\r\n"
        if self.leaving:
            attempt += "Server-Leaving: 1\r\n"
        if self.retry_after:
            return (
                f"HTTP/1.1 503 Service Unavailable\r\n{attempt}"
                f"X-Not-Executed: 1\r\nRetry-After: {self.retry_after}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        return (
            f"HTTP/1.1 200 OK\r\n{attempt}X-Server-Seal: s\r\n"
            "Content-Length: 2\r\n\r\nok"
        ).encode()

    def _crash(self) -> None:
        self.crashes.append(time.monotonic())
        port = int(self._address.rpartition(":")[2])
        self._server.close()
        if self.dark:
            self._writers.clear()
            self._hold_connections(port)
        else:
            self._reset_connections()
            self._held = [serving.reserve(port)]
        for coro in (self._restart(port), self._lapse(self._id, self.born)):
            task = asyncio.create_task(coro)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _hold_connections(self, port: int) -> None:
        """Let new connections to a port hang, like those to a dark host."""
        listener = serving.reserve(port)
        listener.listen(0)
        self._held = [listener]
        for _ in range(_QUEUED_CONNECTIONS):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex((serving.HOST, port))
            self._held.append(conn)

    async def _restart(self, port: int) -> None:
        await asyncio.sleep(self.down_s)
        self._release()
        self.born += 1
        await self.listen(port)

    async def _lapse(self, name: str, born: int) -> None:
        """Remove the entry of an incarnation that has stopped writing it."""
        await asyncio.sleep(LISTING_TIMEOUT_S)
        if self.is_down and self.born == born or self._id != name:
            self.api.remove("servers", name)

    def _release(self) -> None:
        held, self._held = self._held, []
        for sock in held:
            sock.close()

    def _reset_connections(self) -> None:
        writers, self._writers = self._writers, set()
        linger = struct.pack("ii", 1, 0)
        for writer in writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()


def _headers(head: str) -> dict[str, str]:
    lines = (line.partition(":") for line in head.split("\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in lines}
