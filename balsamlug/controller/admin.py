"""Admin HTTP interface for operators and the platform's health checks."""

from collections.abc import Callable
import json

import attrs
import prometheus_client as prom
from tornado import httpserver
from tornado import iostream
from tornado import web

from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import watchers
from balsamlug.membership import peers

MAX_ADMIN_BODY_BYTES = 64 * 1024
MAX_ADMIN_HEAD_BYTES = 16 * 1024
# Requests of the platform, of operators and of collectors of metrics have no
# body and arrive at once.
ADMIN_BODY_TIMEOUT_S = 10.0
# Collectors of metrics come back within a minute.
ADMIN_IDLE_TIMEOUT_S = 120.0
# The platform, collectors and operators have a few connections.
MAX_ADMIN_CONNECTIONS = 32


@attrs.frozen
class View:
    """Data sources of the admin handlers.

    Attributes:
      status: returns the complete status of the node, as JSON values.
      explain: returns the reasons for the state of a group, instance, node or
        domain.
      not_ready: returns why the node is not ready, empty when it is ready.
    """

    status: Callable[[], dict]
    explain: Callable[[str], list[str]]
    not_ready: Callable[[], str]
    registry: prom.CollectorRegistry


def node_status(
    settings: schema.NodeSettings,
    links: peers.Peers,
    watcher: watchers.Watchers,
    state: fleet.FleetState,
    not_ready: str,
) -> dict:
    """Return the part of the status that all nodes report, as JSON values."""
    return {
        "node": settings.id,
        "incarnation": links.table.incarnation,
        "ready": not not_ready,
        "not_ready_reason": not_ready,
        "config_revision": state.config_revision,
        "live_nodes": [node.id for node in state.live_nodes()],
        "watcher": watcher.is_watcher(),
        "neighbours": sorted(links.links.open),
    }


class _Handler(web.RequestHandler):
    def initialize(self, view: View) -> None:
        self.view = view

    def write_json(self, body: dict, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body, sort_keys=True))


class _Status(_Handler):
    def get(self) -> None:
        self.write_json(self.view.status())


class _Explain(_Handler):
    def get(self) -> None:
        subject = self.get_query_argument("subject", "")
        if not subject:
            error = {"code": "malformed_request", "message": "no subject"}
            self.write_json({"error": error}, 400)
            return
        lines = self.view.explain(subject)
        self.write_json({"subject": subject, "reasons": lines})


class _Health(_Handler):
    def get(self) -> None:
        self.write_json({"healthy": True})


class _Ready(_Handler):
    def get(self) -> None:
        reason = self.view.not_ready()
        body = {"ready": not reason, "reason": reason}
        self.write_json(body, 503 if reason else 200)


class _Metrics(_Handler):
    def get(self) -> None:
        self.set_header("Content-Type", prom.CONTENT_TYPE_LATEST)
        self.finish(prom.generate_latest(self.view.registry))


class _Server(httpserver.HTTPServer):
    """Server that closes its oldest connection when another one is too many."""

    def initialize(self, *args: object, **options: object) -> None:
        super().initialize(*args, **options)
        self._streams: dict[iostream.IOStream, None] = {}

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        closed = [old for old in self._streams if old.closed()]
        for old in closed:
            del self._streams[old]
        if len(self._streams) >= MAX_ADMIN_CONNECTIONS:
            oldest = next(iter(self._streams))
            del self._streams[oldest]
            oldest.close()
        self._streams[stream] = None
        super().handle_stream(stream, address)


def make_server(view: View) -> httpserver.HTTPServer:
    """Return the server of the admin interface, not yet listening."""
    context = {"view": view}
    app = web.Application(
        [
            ("/admin/status", _Status, context),
            ("/admin/explain", _Explain, context),
            ("/healthz", _Health, context),
            (r"/(?:-/)?readyz", _Ready, context),
            ("/metrics", _Metrics, context),
        ],
        log_function=lambda handler: None,
    )
    return _Server(
        app,
        max_body_size=MAX_ADMIN_BODY_BYTES,
        max_header_size=MAX_ADMIN_HEAD_BYTES,
        max_buffer_size=2 * MAX_ADMIN_BODY_BYTES,
        chunk_size=MAX_ADMIN_HEAD_BYTES,
        idle_connection_timeout=ADMIN_IDLE_TIMEOUT_S,
        body_timeout=ADMIN_BODY_TIMEOUT_S,
    )
