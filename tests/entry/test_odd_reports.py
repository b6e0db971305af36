"""Guards nodes against odd values in the reports of servers."""

import asyncio
import json

import pytest
from tornado import web

from balsamlug import exceptions
from balsamlug import plain
from balsamlug.entry import orders as entry_orders
from balsamlug.gateway import datagrams
from balsamlug.platform import requests as platform_requests
from balsamlug.platform import servers as platform_servers
from balsamlug_standins import serving
from tests import odd_values
from tests.platform import samples

FIELDS = ("born", "Sequence", "Models", "Staged", "group", "Active", "Unknown")


class _Report(web.RequestHandler):
    def initialize(self, bodies: list[bytes]) -> None:
        self._bodies = bodies

    def get(self) -> None:
        self.finish(self._bodies[-1])


@pytest.mark.parametrize("name", odd_values.VALUES)
def test_odd_report_is_rejected_or_can_be_passed_on(name):
    async def run() -> None:
        bodies = [odd_values.VALUES[name]]
        bodies += [
            odd_values.entry(field, odd_values.VALUES[name]) for field in FIELDS
        ]
        app = web.Application(
            [(r"/.*", _Report, {"bodies": bodies})],
            log_function=lambda handler: None,
        )
        server, port = serving.listen(app)
        api = entry_orders.EngineApi(
            platform_servers.ORDER_PATH,
            platform_servers.REPORT_PATH,
            platform_servers.STALE_STATUS,
            platform_servers.order,
            platform_servers.report,
            platform_requests.expected_instance,
        )
        while bodies:
            try:
                _, announcement = await api.report("i-1", f"127.0.0.1:{port}")
            except exceptions.UpstreamFailed as exc:
                assert len(str(exc)) < 1_000
            else:
                raw = plain.announcement_to_dict(announcement)
                datagrams.decode(
                    datagrams.encode(
                        datagrams.Datagram(
                            "n", 1, 1, 0, {}, [], [], {"i-1": raw}, []
                        )
                    )
                )
            bodies.pop()
        server.stop()

    asyncio.run(run())


def test_report_without_odd_values_is_accepted():
    incarnation, raw = platform_servers.report(
        json.loads(json.dumps(samples.ENTRY))
    )
    assert (incarnation, raw["orders"]) == ("1700000000000", 4)
