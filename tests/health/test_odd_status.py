"""Guards probes against odd status bodies of engines."""

import asyncio

import pytest
from tornado import web

from balsamlug import exceptions
from balsamlug.health import connections
from balsamlug.health import observations
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug_standins import serving
from tests import odd_values

BODIES = (
    b"%b",
    b'{"instance":"i","incarnation":"1","state":"idle","group":%b}',
    b'{"instance":"i","incarnation":"1","state":"idle","load":{"running":%b}}',
)


class _Status(web.RequestHandler):
    def initialize(self, bodies: list[bytes]) -> None:
        self._bodies = bodies

    def get(self) -> None:
        self.finish(self._bodies[-1])


@pytest.mark.parametrize("name", odd_values.VALUES)
def test_odd_status_is_rejected_or_can_be_passed_on(name):
    async def run() -> None:
        bodies = [body % odd_values.VALUES[name] for body in BODIES]
        app = web.Application(
            [(r"/.*", _Status, {"bodies": bodies})],
            log_function=lambda handler: None,
        )
        server, port = serving.listen(app)
        client = connections.StatusClient(5.0)
        while bodies:
            try:
                body = await client.fetch(f"127.0.0.1:{port}")
                status = observations.parse_status(body)
            except (exceptions.ProtocolError, ValueError, ConnectionError):
                # The client closes the connection of a body that is too long.
                pass
            else:
                load = [status.load.running, 0, 0, 0, 0]
                codec.encode(
                    types.GroupReport(
                        status.group, "p", "d", 1, True, False, "", "", load, 0
                    )
                )
            bodies.pop()
        client.close()
        server.stop()

    asyncio.run(run())
