"""HTTP serving and the handlers that all stand-ins share."""

import asyncio
from collections.abc import Callable
import json
import signal
import socket
import struct
from typing import Any
import weakref

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

HOST = "127.0.0.1"
# Large, because the listening sockets of a complete fleet share one machine.
BACKLOG = 512
MAX_BODY_BYTES = 64 * 1024 * 1024


class JsonHandler(web.RequestHandler):
    """Base class of handlers with JSON bodies."""

    def body_json(self) -> dict:
        """Return the request body, which must be a JSON object."""
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as exc:
            raise web.HTTPError(400, "request body is not JSON") from exc
        if not isinstance(body, dict):
            raise web.HTTPError(400, "request body is not a JSON object")
        return body

    def answer(self, body: dict, status: int = 200) -> None:
        """Send a JSON response, unless the connection is closed."""
        if self.request.connection.stream.closed():
            return
        self.set_status(status)
        self.finish(body)

    def drop(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error response as JSON."""
        del kwargs
        self.finish({"error": self._reason, "status": status_code})


class SettingsHandler(JsonHandler):
    """Reads and changes the settings of a running stand-in.

    The settings are an attrs object; a request may set any of its fields.
    """

    def initialize(
        self, settings: Any, on_change: Callable[[], None] = lambda: None
    ) -> None:
        """Store the settings and a function that is called on a change."""
        self.settings_object = settings
        self.on_change = on_change

    def get(self) -> None:
        """Return all settings."""
        self.answer(attrs.asdict(self.settings_object))

    def post(self) -> None:
        """Set the given fields; set none if one is unknown."""
        body = self.body_json()
        known = {
            field.name for field in attrs.fields(type(self.settings_object))
        }
        unknown = sorted(set(body) - known)
        if unknown:
            self.answer({"error": "unknown_settings", "names": unknown}, 400)
            return
        for name, value in body.items():
            setattr(self.settings_object, name, value)
        self.on_change()
        self.get()


class ResettableServer(httpserver.HTTPServer):
    """HTTP server that can end like a process that crashes."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Store the arguments of the base class."""
        super().initialize(*args, **kwargs)
        self._streams = weakref.WeakSet()
        self.is_listening = True

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serve a new connection."""
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def stop(self) -> None:
        """Stop listening."""
        self.is_listening = False
        super().stop()

    def reset_connections(self) -> None:
        """Reset all connections, including idle ones."""
        for stream in list(self._streams):
            if not stream.closed():
                reset(stream)


def reset(stream: iostream.IOStream) -> None:
    """Close a connection with a reset, dropping unsent data."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


def reserve(port: int) -> socket.socket:
    """Return a bound socket that refuses connections and keeps a port."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, port))
    return reservation


def listen(
    app: web.Application,
    port: int = 0,
    server_class: type[httpserver.HTTPServer] = httpserver.HTTPServer,
) -> tuple[httpserver.HTTPServer, int]:
    """Serve an application on loopback and return the server and its port."""
    sockets = netutil.bind_sockets(port, HOST, backlog=BACKLOG)
    server = server_class(app, max_buffer_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def run(name: str, app: web.Application, port: int) -> None:
    """Print a ready line and serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    server, bound_port = listen(app, port)
    print(f"ready {name} {HOST}:{bound_port}", flush=True)
    await stop.wait()
    server.stop()
