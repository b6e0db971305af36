"""Fault-injecting TCP proxy whose routes can be changed while it runs."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Annotated

import attrs
from tornado import web
import typer

from balsamlug_standins import proxy_faults
from balsamlug_standins import proxy_link
from balsamlug_standins import serving
from balsamlug_standins import waiting

REOPEN_POLL_S = 0.1


class UnknownFault(ValueError):
    """The name or value of a fault is unknown."""


class Route:
    """Listening port that forwards connections to a target.

    Args:
      mirror: whether the port refuses connections while the target does. To
        find out, the proxy opens an empty connection to the target each time
        the target closes one.
    """

    def __init__(self, name: str, target: str, mirror: bool = False) -> None:
        self.name = name
        self.target = target
        self.mirror = mirror
        self.port = 0
        self.accepted = 0
        self.faults = proxy_faults.RouteFaults()
        self._changed = waiting.ChangeSignal()
        self._links: set[proxy_link.Link] = set()
        self._server: asyncio.Server | None = None
        self._reopen_task: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port, 0 for a free one."""
        self._server = await asyncio.start_server(
            self._accept, serving.HOST, port, backlog=serving.BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        self._server.close()
        for link in list(self._links):
            link.reset()

    def set_faults(self, **faults: object) -> None:
        """Replace all faults; faults that are not named end.

        Raises:
          UnknownFault: a name or value is unknown; no fault is changed.
        """
        names = [field.name for field in attrs.fields(proxy_faults.RouteFaults)]
        if not set(faults) <= set(names):
            raise UnknownFault(f"known faults: {', '.join(names)}")
        new_faults = proxy_faults.RouteFaults(**faults)
        if new_faults.cut not in ("", *proxy_faults.DIRECTIONS):
            raise UnknownFault(f"cut: {', '.join(proxy_faults.DIRECTIONS)}")
        # Links hold a reference to this object, so it is changed in place.
        for name in names:
            setattr(self.faults, name, getattr(new_faults, name))
        self._changed.notify()
        for link in list(self._links):
            link.apply_faults()

    def silence(self, is_chosen: Callable[[], bool] = lambda: True) -> int:
        """Let open connections go silent for good; new ones work.

        Args:
          is_chosen: called for each connection.

        Returns:
          The number of connections that went silent.
        """
        chosen = [link for link in self._links if is_chosen()]
        for link in chosen:
            link.silence()
        return len(chosen)

    def view(self) -> dict:
        """Return the route and its faults as JSON."""
        return {
            "name": self.name,
            "target": self.target,
            "port": self.port,
            "accepted": self.accepted,
            "open": len(self._links),
            "faults": attrs.asdict(self.faults),
        }

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        link = proxy_link.Link(
            self.faults, self._changed, (reader, writer), self._mirror_target
        )
        self._links.add(link)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await link.run(*self._target_address())
        finally:
            self._links.discard(link)

    def _target_address(self) -> tuple[str, int]:
        host, _, port = self.target.rpartition(":")
        return host, int(port)

    async def _mirror_target(self) -> None:
        """Stop listening if the target no longer listens."""
        if not self.mirror or self._reopen_task is not None:
            return
        if not await self._target_refuses() or self._reopen_task is not None:
            return
        self._server.close()
        self._reopen_task = asyncio.create_task(self._reopen())

    async def _reopen(self) -> None:
        while await self._target_refuses():
            await asyncio.sleep(REOPEN_POLL_S)
        self._reopen_task = None
        await self.start(self.port)

    async def _target_refuses(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self._target_address())
        except ConnectionRefusedError:
            return True
        writer.close()
        return False


class Proxy:
    """Table of routes."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}

    async def add(
        self, name: str, target: str, port: int = 0, mirror: bool = False
    ) -> Route:
        """Open a route, replacing a route of the same name."""
        if name in self.routes:
            self.routes.pop(name).close()
        route = Route(name, target, mirror)
        await route.start(port)
        self.routes[name] = route
        return route

    def close(self) -> None:
        """Close all routes."""
        for route in self.routes.values():
            route.close()
        self.routes.clear()


class RoutesHandler(serving.JsonHandler):
    """Control of the routes."""

    def initialize(self, proxy: Proxy) -> None:
        """Store the proxy."""
        self.proxy = proxy

    def get(self) -> None:
        """Return all routes."""
        routes = {name: r.view() for name, r in self.proxy.routes.items()}
        self.answer({"routes": routes})

    async def post(self) -> None:
        """Open a route."""
        body = self.body_json()
        try:
            route = await self.proxy.add(
                body["name"],
                body["target"],
                body.get("port", 0),
                body.get("mirror", False),
            )
        except (KeyError, OSError) as exc:
            self.answer({"error": "malformed", "detail": str(exc)}, 400)
        else:
            self.answer(route.view())


class FaultsHandler(serving.JsonHandler):
    """Control of the faults of a route."""

    def initialize(self, proxy: Proxy) -> None:
        """Store the proxy."""
        self.proxy = proxy

    def post(self, name: str) -> None:
        """Replace the faults of the route."""
        route = self.proxy.routes.get(name)
        if route is None:
            self.answer({"error": "unknown_route"}, 404)
            return
        try:
            route.set_faults(**self.body_json())
        except UnknownFault as exc:
            self.answer({"error": "unknown_fault", "detail": str(exc)}, 400)
        else:
            self.answer(route.view())


def application(proxy: Proxy) -> web.Application:
    """Return the control interface of a proxy."""
    state = {"proxy": proxy}
    return web.Application(
        [
            (r"/control/routes", RoutesHandler, state),
            (r"/control/routes/([^/]+)/faults", FaultsHandler, state),
        ],
        log_function=lambda handler: None,
    )


def main(port: Annotated[int, typer.Option()]) -> None:
    """Run the proxy; --port is the port of its control interface."""

    async def serve() -> None:
        proxy = Proxy()
        await serving.run("proxy", application(proxy), port)
        proxy.close()

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
