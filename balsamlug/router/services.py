"""Forward calls to plain services, which run no models."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import itertools
from typing import Protocol

import attrs
from tornado import httputil

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import rate_limits
from balsamlug.config import schema
from balsamlug.observability import logs
from balsamlug.router import handlers
from balsamlug.router import retries
from balsamlug.router import upstream

KEY_HEADER = "Idempotency-Key"
# Headers that apply to one connection only or are meant for the router.
_DROPPED_REQUEST_HEADERS = {
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
_DROPPED_RESPONSE_HEADERS = {
    "connection",
    "content-length",
    "keep-alive",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
NO_BODY_STATUSES = {204, 304}

Answer = tuple[int, dict[str, str], bytes]
CallOnce = Callable[[], Awaitable[Answer]]


class Ledger(Protocol):
    """Runner of non-idempotent calls."""

    async def run(
        self,
        customer: str,
        service: str,
        key: str,
        request_bytes: bytes,
        call: CallOnce,
        timeout_ms: int,
    ) -> Answer:
        """Run the call at most once for its key and return the answer."""


@attrs.define
class AddressRotation:
    """Rotate the addresses of a service, recently refusing ones last."""

    _clock: clocks.Clock
    _counters: dict[str, itertools.count] = attrs.field(factory=dict)
    _refused_at_s: dict[str, float] = attrs.field(factory=dict)

    def order(self, service: schema.Service) -> list[str]:
        """Return all addresses of a service in the order to try them."""
        counter = self._counters.setdefault(service.name, itertools.count())
        first = next(counter) % len(service.addresses)
        rotated = service.addresses[first:] + service.addresses[:first]
        now_s = self._clock.monotonic()
        return sorted(rotated, key=lambda a: self._recently_refused(a, now_s))

    def record_refused(self, address: str) -> None:
        """Record that an address refused a connection."""
        self._refused_at_s[address] = self._clock.monotonic()

    def _recently_refused(self, address: str, now_s: float) -> bool:
        refused_at_s = self._refused_at_s.get(address, float("-inf"))
        return now_s - refused_at_s < REFUSED_PENALTY_S


# An address that refused a connection is tried last for this long; a restarted
# service is preferred again within this time.
REFUSED_PENALTY_S = 1.0
# How long the service at an address counts as leaving. Its successor may listen
# at the same address, and answers name no incarnation.
ADDRESS_LEAVING_S = 30.0


@attrs.define
class ServiceClient:
    """HTTP client that calls a service on one of its addresses."""

    _rotation: AddressRotation
    _budget: retries.RetryBudget
    _limits: rate_limits.RateLimits
    _notices: notices.Notices
    _on_retry: Callable[[str], None]

    async def call_once(
        self, service: schema.Service, call: upstream.Call
    ) -> Answer:
        """Send the request to at most one address that accepts it.

        Raises:
          UpstreamUnreachable: no address accepted a connection.
          UpstreamsPaused: no address wants calls now.
          RateLimited: all addresses have reached their rate limits.
          UpstreamFailed: the call failed and may have run.
        """
        timeout_s = service.timeout_ms / clocks.MS_PER_S
        addresses = self._limits.accepting(
            self._notices.accepting(self._rotation.order(service), _limit_key),
            _limit_key,
            service.name,
        )
        for address in addresses:
            key = _limit_key(address)
            target = attrs.evolve(
                call,
                address=address,
                permitted=functools.partial(self._notices.accepts, key),
            )
            self._limits.table.record_sent(key)
            try:
                resp, body = await upstream.fetch(target, timeout_s)
            except exceptions.UpstreamUnreachable:
                self._limits.table.withdraw(key)
                self._rotation.record_refused(address)
                continue
            self._limits.table.observe(key, resp.rate_limit, address)
            self._notices.observe(
                key, resp.status, resp.notice, resp.relay, address
            )
            return resp.status, _forwarded_headers(resp.headers), body
        raise exceptions.UpstreamUnreachable(
            f"no address of {service.name} accepts connections", 1000
        )

    async def call_with_retry(
        self, service: schema.Service, call: upstream.Call
    ) -> Answer:
        """Call an idempotent service, with one retry within the budget."""
        self._budget.first_attempt()
        try:
            return await self.call_once(service, call)
        except exceptions.UpstreamFailed as exc:
            if not self._budget.spend():
                raise exceptions.RetryBudgetExhausted(exc.message) from exc
            self._on_retry("service")
        return await self.call_once(service, call)


class ServiceHandler(handlers.CallerHandler):
    """Handler of any method on /services/<name>/<path>."""

    kind = "service"
    needs_view = False
    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )
    get = head = delete = patch = put = options = handlers.CallerHandler.handle

    def initialize(
        self, caller: ServiceClient, ledger: Ledger, **shared: object
    ) -> None:
        """Store the objects shared by all requests."""
        super().initialize(**shared)
        self._client = caller
        self._ledger = ledger

    async def serve(self, body: bytes, *args: str) -> None:
        """Call the service and forward its answer."""
        name = args[0]
        customer = self.authenticate()
        service = self.runtime.settings.services.get(name)
        if service is None:
            raise exceptions.UnknownRoute(f"no service {name!r}")
        call = self._call(body)
        if service.idempotent:
            answer = await self._client.call_with_retry(service, call)
        else:
            answer = await self._call_once_for_key(customer, service, call)
        self.log_fields = {"service": name, "status": answer[0]}
        await self._write_answer(*answer)

    async def _call_once_for_key(
        self,
        customer: schema.Customer,
        service: schema.Service,
        call: upstream.Call,
    ) -> Answer:
        key = self.request.headers.get(KEY_HEADER, "").strip()
        if not key:
            raise exceptions.KeyMissing(f"{KEY_HEADER} is required")
        request_line = f"{call.method} {call.path}\n".encode()
        return await self._ledger.run(
            customer.name,
            service.name,
            key,
            request_line + (call.body or b""),
            lambda: self._client.call_once(service, call),
            # Every address may take the full timeout to refuse.
            service.timeout_ms * len(service.addresses),
        )

    def _call(self, body: bytes) -> upstream.Call:
        req = self.request
        # The path is forwarded as the caller sent it, because decoded parts
        # could contain line ends or other separators.
        _, _, name_and_path = req.path.partition("/services/")
        path = name_and_path.partition("/")[2]
        headers = {
            name: value
            for name, value in req.headers.get_all()
            if name.lower() not in _DROPPED_REQUEST_HEADERS
        }
        headers[logs.TASK_HEADER] = self.task_id
        query = f"?{req.query}" if req.query else ""
        has_body = bool(body) or req.method in ("POST", "PUT", "PATCH")
        return upstream.Call(
            "",
            req.method,
            f"/{path}{query}",
            headers,
            body if has_body else None,
            connect=self.runtime.connector.connect,
        )

    async def _write_answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.set_status(status, httputil.responses.get(status, "Unknown"))
        for name, value in headers.items():
            self.set_header(name, value)
        if status in NO_BODY_STATUSES:
            self.clear_header("Content-Type")
            body = b""
        await self.finish_in_time(body)


def _limit_key(address: str) -> bytes:
    # Services are configured by address, and their answers name no incarnation.
    return limit_table.server_key(address, "")


def _forwarded_headers(headers: httputil.HTTPHeaders) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_RESPONSE_HEADERS
    }
