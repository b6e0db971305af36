"""Guards against a shutdown that interrupts requests, and false readiness."""

import asyncio
import json

import pytest

from balsamlug.messages import types
from tests.router import fakes

REQ = {"model": "chat", "prompt": "hi", "max_tokens": 30, "stream": True}


def test_stop_reports_not_ready_then_refuses_then_waits_for_streams():
    async def main():
        async with fakes.harness(1) as h:
            # The stream must last longer than the checks below, also on a busy
            # machine.
            h.engines[0].delay_s = 0.2
            stream = asyncio.create_task(h.post(REQ))
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(h.router.lifecycle.stop(0.1))
            await asyncio.sleep(0.02)
            resp, _ = await h.post(None, "/readyz", method="GET")
            assert resp.status == 503
            resp, _ = await h.post(REQ | {"max_tokens": 1})
            assert resp.status == 200
            await asyncio.sleep(0.15)
            resp, body = await h.post(REQ)
            error = json.loads(body)["error"]
            assert error["code"] == "node_not_ready"
            assert error["outcome"] == "not_run"
            assert not stop.done()
            _, body = await stream
            assert body.endswith(b"data: [DONE]\n\n")
            await asyncio.wait_for(stop, 1)

    asyncio.run(main())


@pytest.mark.parametrize("is_completed", [True, False])
def test_stop_waits_for_a_request_that_is_being_received(is_completed):
    async def main():
        async with fakes.harness(1) as h:
            host, _, port = h.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(REQ).encode()
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                + f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body[:5]
            )
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(h.router.lifecycle.stop(0.1))
            await asyncio.sleep(0.5)
            assert not stop.done()
            if is_completed:
                writer.write(body[5:])
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 503 ")
                assert b"Connection: close" in head
            writer.close()
            await asyncio.wait_for(stop, 1)

    asyncio.run(main())


def test_not_ready_without_a_controller_or_configuration():
    async def main():
        async with fakes.harness(1) as h:
            resp, _ = await h.post(None, "/readyz", method="GET")
            assert resp.status == 200
            h.router.link._last_connected_s = h.router.clock.monotonic() - 4
            resp, _ = await h.post(None, "/readyz", method="GET")
            assert resp.status == 503
            _, body = await h.post(REQ)
            assert json.loads(body)["error"]["code"] == "node_not_ready"

    asyncio.run(main())


def test_invalid_configuration_does_not_replace_the_valid_one():
    async def main():
        async with fakes.harness(1) as h:
            update = types.ConfigUpdate(2, {"base": "[limits]\nx = 1"})
            assert not h.router.fleet.publish(update, 0.0)
            resp, _ = await h.post(REQ)
            assert resp.status == 200

    asyncio.run(main())
