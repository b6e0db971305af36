"""Guards against repeated service calls and failures at a refusing address."""

import asyncio
import json

import attrs
import pytest
from tornado import web

from balsamlug import exceptions
from tests.router import fakes


@attrs.define(eq=False)
class Service:
    """Fake service that handles each call according to the next step."""

    steps: list[str] = attrs.field(factory=list)
    calls: list[web.RequestHandler] = attrs.field(factory=list)


class Call(web.RequestHandler):
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT")

    def initialize(self, service: Service) -> None:
        self.service = service

    async def prepare(self) -> None:
        self.service.calls.append(self)
        step = self.service.steps.pop(0) if self.service.steps else "ok"
        if step == "close":
            self.detach().close()
        elif step == "stall":
            await asyncio.sleep(10)
        else:
            self.set_status(201)
            self.set_header("X-Kind", "fake")
            self.finish(self.request.body or b"empty")


def config(*addresses: str) -> str:
    listed = ", ".join(addresses)
    return (
        f"\n[service:stock]\naddresses = {listed}\nidempotent = yes\n"
        f"timeout_ms = 300\n[service:rentals]\naddresses = {listed}\n"
        "timeout_ms = 300\n"
    )


def run(scenario, dead_address: bool = False):
    async def main():
        service = Service()
        routes = [(r"/.*", Call, {"service": service})]
        server, address = fakes.serve(web.Application(routes))
        addresses = [address]
        if dead_address:
            addresses.insert(0, f"127.0.0.1:{fakes.free_port()}")
        async with fakes.harness(0, config(*addresses)) as h:
            await scenario(h, service)
        server.stop()
        await server.close_all_connections()

    asyncio.run(main())


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "PATCH"])
def test_forwards_request_and_answer(method):
    async def scenario(h, service):
        headers = fakes.AUTH | {"X-Own": "1"}
        path = "/services/stock/a%2Fb%0d%0ac/d?q=%20x"
        resp, body = await h.post(b"abc", path, headers, method)
        assert (resp.status, body) == (201, b"abc")
        assert resp.headers["X-Kind"] == "fake"
        req = service.calls[0].request
        assert req.method == method
        assert req.uri == "/a%2Fb%0d%0ac/d?q=%20x"
        assert req.headers["X-Own"] == "1"
        assert "Authorization" not in req.headers
        assert req.headers["X-Eliot-Task"]

    run(scenario)


def test_skips_addresses_that_refuse_connections():
    async def scenario(h, service):
        for _ in range(4):
            resp, _ = await h.post(b"", "/services/stock/x")
            assert resp.status == 201
        assert len(service.calls) == 4

    run(scenario, dead_address=True)


def test_idempotent_call_is_repeated_once():
    async def scenario(h, service):
        service.steps = ["close"]
        resp, _ = await h.post(b"", "/services/stock/x")
        assert resp.status == 201
        assert len(service.calls) == 2
        assert h.metric("retries_total", reason="service") == 1

    run(scenario)


@pytest.mark.parametrize("step", ["close", "stall"])
def test_failed_non_idempotent_call_is_not_retried(step):
    async def scenario(h, service):
        service.steps = [step]
        headers = fakes.AUTH | {"Idempotency-Key": "k1"}
        _, body = await h.post(b"", "/services/rentals/x", headers)
        error = json.loads(body)["error"]
        assert (error["code"], error["outcome"]) == (
            "upstream_failed",
            "unknown",
        )
        assert len(service.calls) == 1

    run(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "code"),
    [
        ("/services/rentals/x", {}, "key_missing"),
        ("/services/rentals/x", {"Idempotency-Key": " "}, "key_missing"),
        (
            "/services/rentals/x",
            {"Idempotency-Key": "k" * 300},
            "malformed_request",
        ),
        ("/services/none/x", {}, "unknown_route"),
        ("/services/stock/x", {"Authorization": "x"}, "unknown_customer"),
    ],
)
def test_refused_calls_do_not_run(path, headers, code):
    async def scenario(h, service):
        _, body = await h.post(b"", path, fakes.AUTH | headers)
        error = json.loads(body)["error"]
        assert (error["code"], error["outcome"]) == (code, "not_run")
        assert not service.calls

    run(scenario)


def test_call_without_any_listening_address_is_not_run():
    async def main():
        address = f"127.0.0.1:{fakes.free_port()}"
        async with fakes.harness(0, config(address)) as h:
            headers = fakes.AUTH | {"Idempotency-Key": "k1"}
            _, body = await h.post(b"", "/services/rentals/x", headers)
            error = json.loads(body)["error"]
            assert error["code"] == "upstream_unreachable"
            assert error["outcome"] == "not_run"

    asyncio.run(main())


def test_ledger_gets_complete_request_and_its_refusal_is_forwarded():
    recorded = []

    class Ledger:
        async def run(
            self, customer, service, key, request_bytes, call, timeout_ms
        ):
            recorded.append((customer, service, key, request_bytes))
            raise exceptions.CallInProgress("earlier call", 500)

    async def scenario(h, service):
        for rule in h.router.application.default_router.rules[0].target.rules:
            if "ledger" in (rule.target_kwargs or {}):
                rule.target_kwargs["ledger"] = Ledger()
        headers = fakes.AUTH | {"Idempotency-Key": "k1"}
        resp, _ = await h.post(b"abc", "/services/rentals/x?y=1", headers)
        assert resp.status == 409
        assert resp.headers["Retry-After"] == "1"
        assert recorded == [("vedrina", "rentals", "k1", b"POST /x?y=1\nabc")]
        assert not service.calls

    run(scenario)
