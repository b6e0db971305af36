"""A small fleet in one process: store, model servers and entry nodes."""

import asyncio
from collections.abc import Callable
import contextlib
import contextvars
import json

import attrs
from tornado import httpclient

from balsamlug import clock as clocks
from balsamlug.config import schema
from balsamlug.entry import app as entry_app
from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import processes
from balsamlug_standins import site

KEY = "secret"
MODEL = site.MODEL
SERVICE = site.MODEL_SERVICE
WAIT_S = 40.0
SLOTS = 4
GRACE_S = 4
# Number of the node whose code runs, for tests that cut a node off.
RUNNING_NODE = contextvars.ContextVar("running_node", default=-1)
# More than any test sends at once, so that no request waits in the client.
MAX_CONCURRENT_REQUESTS = 1000


def configuration(version: int = 1, **route: object) -> dict:
    """Return a configuration as the operator writes it."""
    return site.configuration(
        version, [site.STREAM | route], [site.model_service(SLOTS)], [KEY]
    )


@attrs.define
class Fleet:
    """All components of a running fleet, with helpers for tests.

    Attributes:
      new_node: returns a node that has not been started.
    """

    api: object_api.ObjectApi
    servers: dict[str, members.Member]
    nodes: list[entry_app.Entry]
    http: httpclient.AsyncHTTPClient
    new_node: Callable[[int], entry_app.Entry]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    def open_heads(self) -> list[members.Member]:
        """Return the heads of groups that serve."""
        return [
            s
            for s in self.servers.values()
            if s.group and s.group["State"] == "open" and not s.unresponsive
        ]

    async def ready(self) -> None:
        """Wait until every node has a group that serves."""
        await self.until(
            lambda: all(
                n.groups.candidates(SERVICE, MODEL, frozenset())
                for n in self.nodes
            )
        )

    async def restart_nodes(self) -> None:
        """Replace all nodes by new ones, which remember nothing."""
        for number, node in enumerate(self.nodes):
            await node.close()
            self.nodes[number] = self.new_node(number)
            await self.nodes[number].start()

    async def admin(self, path: str, node: int = 0) -> dict:
        """Return a page of a node's admin port."""
        port = self.nodes[node].settings.admin_port
        resp = await self.http.fetch(f"http://127.0.0.1:{port}{path}")
        return json.loads(resp.body)

    async def send_request_streamed(
        self, on_data: Callable[[bytes], object]
    ) -> httpclient.HTTPResponse:
        """Send a request and pass its body on as it arrives.

        Raises:
          HTTPError: with code 599, the answer is incomplete.
        """
        return await self.send_request(
            raise_error=True, streaming_callback=on_data
        )

    async def send_request(
        self,
        node: int = 0,
        request_id: str = "r1",
        key: str = KEY,
        body: bytes = b"prompt",
        raise_error: bool = False,
        streaming_callback: Callable[[bytes], object] | None = None,
        path: str = "/chat/1",
        **more,
    ) -> httpclient.HTTPResponse:
        """Send a streaming request to a node."""
        port = self.nodes[node].peers.settings.caller_port
        headers = {
            "Host": site.HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "5000",
            "X-Model": MODEL,
            "X-Token-Count": "100,20",
            "Api-Key": key,
        }
        return await self.http.fetch(
            f"http://127.0.0.1:{port}{path}",
            method="POST",
            body=body,
            headers=headers | more,
            raise_error=raise_error,
            streaming_callback=streaming_callback,
        )


@contextlib.asynccontextmanager
async def running(
    engines: int = 5,
    nodes: int = 2,
    configured: bool = True,
    create_member: Callable[..., members.Member] = members.Member,
    route: dict | None = None,
    grace_s: int = 0,
    **settings: object,
):
    """Yield a fleet whose groups are being formed.

    Args:
      route: fields of the route that differ from the usual ones.
      grace_s: grace period of the nodes, 0 for the usual one.
      settings: further settings of the nodes.
    """
    api = object_api.ObjectApi()
    address = api.listen()
    if configured:
        api.write("config", "main", configuration(**(route or {})))
    servers: dict[str, members.Member] = {}
    for number in range(engines):
        member = create_member(f"i-{number}", api, peers=servers)
        member.listen()
    ports = processes.Ports()

    def new_node(number: int) -> entry_app.Entry:
        more = {"grace_s": grace_s or GRACE_S} | settings
        return _entry(number, address, ports, **more)

    entries = [new_node(number) for number in range(nodes)]
    for number, entry in enumerate(entries):
        context = contextvars.copy_context()
        context.run(RUNNING_NODE.set, number)
        await asyncio.create_task(entry.start(), context=context)
    fleet = Fleet(api, servers, entries, _http_client(), new_node)
    try:
        yield fleet
    finally:
        for entry in entries:
            await entry.close()
        for member in servers.values():
            member.stop()
        api.stop()
        ports.release()


def _http_client() -> httpclient.AsyncHTTPClient:
    return httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
    )


def _entry(
    number: int, platform: str, ports: processes.Ports, **more
) -> entry_app.Entry:
    def free() -> tuple[str, ...]:
        return (f"127.0.0.1:{ports.take()}",)

    settings = schema.EntrySettings(
        id=f"node-{number}",
        failure_domain="z1",
        region="r1",
        address="127.0.0.1",
        caller_address=free(),
        admin_address=free(),
        peer_address=free(),
        platform_address=(platform,),
        metrics_port=ports.take(),
        **more,
    )
    return entry_app.Entry(settings, clocks.SystemClock())
