"""Base of the HTTP handlers for callers: errors, authentication, logs."""

import asyncio
from typing import Any
import uuid

import eliot
from tornado import httputil
from tornado import iostream
from tornado import web

from balsamlug import exceptions
from balsamlug import numerals
from balsamlug.config import schema
from balsamlug.observability import logs
from balsamlug.router import lifecycle as lifecycles
from balsamlug.router import relay
from balsamlug.router import runtime as runtimes

KB = 1024
# A body that exceeds the limit by at most this much is read and discarded, so
# that the caller receives the refusal; a larger one closes the connection.
DISCARD_BYTES = 8 * 1024 * KB
# A caller that does not read must not delay a graceful stop for longer.
FINISH_TIMEOUT_S = 10.0
CLIENT_CLOSED_STATUS = 499
_BEARER = "Bearer "
_STATUS_REFUSALS = {
    404: exceptions.UnknownRoute,
    405: exceptions.MethodNotAllowed,
}


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Answer every failure with a JSON error body.

    Subclasses implement `serve`, which may raise refusals.
    """

    kind = "unknown"
    needs_view = True

    def initialize(
        self, runtime: runtimes.Runtime, lifecycle: lifecycles.Lifecycle
    ) -> None:
        """Store the objects shared by all requests."""
        self.runtime = runtime
        self.lifecycle = lifecycle
        self.request_id = uuid.uuid4().hex
        self.customer = ""
        self.task_id = ""
        self.log_fields: dict[str, Any] = {}
        self._body = bytearray()
        self._oversized = False

    def prepare(self) -> None:
        """Refuse a body far over the limit before reading it."""
        self._set_common_headers()
        self._body_limit_bytes = self.runtime.settings.limits.max_body_kb * KB
        declared = self.request.headers.get("Content-Length", "0")
        # tornado refuses a length that is not a number.
        length_bytes = numerals.parse(declared) or 0
        if length_bytes > self._body_limit_bytes + DISCARD_BYTES:
            self.set_header("Connection", "close")
            self.refuse(self._too_large())

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        if len(self._body) + len(chunk) > self._body_limit_bytes:
            self._oversized = True
        if not self._oversized:
            self._body += chunk

    async def handle(self, *args: str) -> None:
        """Serve the request as one log action."""
        self.lifecycle.in_flight += 1
        self.runtime.metrics.in_flight.inc()
        try:
            with eliot.start_action(
                action_type=f"balsamlug:{self.kind}", id=self.request_id
            ) as action:
                self.task_id = action.serialize_task_id().decode()
                outcome = await self._serve_and_get_outcome(*args)
                action.add_success_fields(
                    outcome=outcome,
                    customer=self.customer,
                    **self.log_fields,
                )
        finally:
            self.lifecycle.in_flight -= 1
            self.runtime.metrics.in_flight.dec()
        self.runtime.metrics.requests.labels(self.kind, outcome).inc()

    post = handle

    async def serve(self, body: bytes, *args: str) -> None:
        """Answer the request, or raise a refusal."""
        raise NotImplementedError

    def refuse(self, refusal: exceptions.Refusal) -> None:
        """Answer with a refusal."""
        self.runtime.metrics.refusals.labels(refusal.code).inc()
        self.answer_refusal(refusal)

    def answer_refusal(self, refusal: exceptions.Refusal) -> None:
        """Write a refusal; a handler that streams overrides this."""
        if self._finished:
            return
        self.clear()
        self._set_common_headers()
        self.set_status(refusal.status)
        if refusal.retry_after_ms is not None:
            seconds = -(-refusal.retry_after_ms // 1000)
            self.set_header("Retry-After", str(seconds))
        self.finish(refusal.body())

    async def finish_in_time(self, body: bytes | str | dict | None) -> None:
        """Finish the answer and wait until the caller has read it.

        Raises:
          SlowCaller: the caller did not read it in time; the connection is
            closed.
        """
        stream = self.request.connection.stream
        fut = self.finish(body)
        try:
            await asyncio.wait_for(fut, FINISH_TIMEOUT_S)
        except TimeoutError as exc:
            stream.close()
            raise exceptions.SlowCaller("the answer was not read") from exc

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write a failure outside of `handle` as a refusal."""
        del kwargs
        refusal_class = _STATUS_REFUSALS.get(
            status_code, exceptions.InternalFailure
        )
        if status_code == 400:  # noqa: PLR2004
            refusal_class = exceptions.MalformedRequest
        self.refuse(refusal_class(httputil.responses.get(status_code, "")))

    def log_exception(self, *exc_info: Any) -> None:
        """Log unexpected exceptions; HTTP errors are only counted."""
        if not isinstance(exc_info[1], web.HTTPError):
            eliot.write_traceback(exc_info=exc_info)

    def authenticate(self) -> schema.Customer:
        """Return the customer of the bearer key.

        Raises:
          UnknownCustomer: the key is missing or unknown.
        """
        header = self.request.headers.get("Authorization", "")
        key = header.removeprefix(_BEARER) if header.startswith(_BEARER) else ""
        customer = self.runtime.settings.customer_by_key(key)
        if customer is None:
            raise exceptions.UnknownCustomer("unknown or missing bearer key")
        self.customer = customer.name
        return customer

    async def _serve_and_get_outcome(self, *args: str) -> str:
        try:
            self.lifecycle.check(self.needs_view)
            if self._oversized:
                raise self._too_large()
            await self.serve(bytes(self._body), *args)
        except exceptions.Refusal as refusal:
            self.refuse(refusal)
            return refusal.code
        except (relay.CallerGone, iostream.StreamClosedError):
            self.set_status(CLIENT_CLOSED_STATUS)
            return "caller_gone"
        except Exception:
            eliot.write_traceback()
            self.refuse(exceptions.InternalFailure("internal failure"))
            return exceptions.InternalFailure.code
        return "ok"

    def _set_common_headers(self) -> None:
        self.set_header(logs.REQUEST_ID_HEADER, self.request_id)
        if self.lifecycle.leaving:
            # Callers with persistent connections reconnect to another node.
            self.set_header("Connection", "close")

    def _too_large(self) -> exceptions.BodyTooLarge:
        return exceptions.BodyTooLarge(
            f"the body exceeds {self._body_limit_bytes // KB} KB"
        )


class UnknownPathHandler(CallerHandler):
    """Handler that refuses every unknown path."""

    def prepare(self) -> None:
        """Refuse the request before reading its body."""
        super().prepare()
        if not self._finished:
            self.refuse(exceptions.UnknownRoute(self.request.path))
