"""Entry point for caller requests: route, serve, or answer with a refusal."""

import asyncio
import json

import attrs
import eliot

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import calls
from balsamlug.gateway import context as contexts
from balsamlug.gateway import evidence as evidences
from balsamlug.gateway import forwarding
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.gateway import recent_refusals
from balsamlug.gateway import streams

# The gateway answers this long before the deadline of the caller or the timeout
# of the route, whichever is earlier.
TIMEOUT_MARGIN_S = 0.05
STARTING_RETRY_MS = 500
DEFECT_RETRY_MS = 500
CALLER_GONE = "caller_gone"
SERVED = "served"
BROKEN_OFF = "broken_off"
JSON_TYPE = ("Content-Type", "application/json")


@attrs.define
class Gateway:
    """Serve the requests of callers.

    Attributes:
      leaving: whether the node is stopping; connections are closed after their
        current answer.
      in_flight: number of requests that are being served.
    """

    ctx: contexts.Context
    failure_domain: str
    recent_failures: calls.RecentFailures
    leaving: bool = False
    in_flight: int = 0
    _served: set[forwarding.ForwardedRequest] = attrs.field(factory=set)

    def leave(self) -> None:
        """Close each connection after its answer from now on."""
        self.leaving = True
        for served in self._served:
            if not served.responder.headers_sent:
                served.responder.closes_connection = True

    def end_requests(self) -> None:
        """Answer or break off all requests, because the process exits."""
        self.ctx.grace.close()
        for served in list(self._served):
            served.stop()

    async def handle(
        self, req: messages.CallerRequest, responder: frontend.Responder
    ) -> None:
        """Serve one request until it has ended."""
        responder.closes_connection = self.leaving
        self.in_flight += 1
        outcome = SERVED
        served = None
        try:
            served = self._prepare(req, responder)
            self._served.add(served)
            await served.run()
            if responder.closed:
                outcome = CALLER_GONE
        except exceptions.Refusal as exc:
            refusal = _consistent_with_run(exc, served)
            outcome = refusal.code
            self._refuse(req, responder, refusal)
            exceptions.release_frames(exc)
        except (Exception, asyncio.CancelledError):
            eliot.write_traceback()
            refusal = _internal_refusal(served)
            outcome = refusal.code
            self._refuse(req, responder, refusal)
        finally:
            self.in_flight -= 1
            if served is not None:
                self._served.discard(served)
                served.evidence.end_tests()
            self._record_end(req, outcome, served)

    def _prepare(
        self, req: messages.CallerRequest, responder: frontend.Responder
    ) -> forwarding.ForwardedRequest:
        """Return the request with its route, customer and deadline.

        Raises:
          Refusal: the request is not allowed, or this node cannot serve it.
        """
        if req.refusal is not None:
            raise req.refusal
        catalogue = self.ctx.fleet.catalogue
        if not catalogue.revision:
            raise exceptions.NodeNotReady("no configuration", STARTING_RETRY_MS)
        if self.ctx.grace.rest_s <= 0:
            raise self.ctx.grace.refusal("the node stops")
        route = catalogue.route(req.host, req.path)
        if route is None:
            raise exceptions.UnknownRoute("no route matches")
        customer = _customer(catalogue, route, req)
        target = self._target(route)
        service = catalogue.service(target)
        deadline_ms = req.metadata.deadline_ms or route.timeout_ms
        fp = recent_refusals.fingerprint(req)
        waited_ms = self.ctx.recent_refusals.waited_s(fp) * clocks.MS_PER_S
        has_engine = service is None or service.engine is not None
        parts = req.metadata.prefix if has_engine else ()
        evidence = self._evidence(evidences.subjects(fp, parts))
        evidence.check()
        timeout_s = min(deadline_ms, route.timeout_ms) / clocks.MS_PER_S
        deadline_s = req.received_s + timeout_s - TIMEOUT_MARGIN_S
        budget = self.ctx.budgets.of(target)
        budget.first_attempt()
        self.ctx.log(
            "request_received",
            request=req.metadata.request_id,
            route=route.name,
            customer=customer.name if customer else "",
            revision=catalogue.revision,
            deadline_ms=deadline_ms,
            waited_ms=round(waited_ms),
        )
        shared = {
            "ctx": self.ctx,
            "req": req,
            "responder": responder,
            "route": route,
            "service": target,
            "budget": budget,
            "customer": customer.name if customer else "",
            "accepted_s": self.ctx.clock.monotonic(),
            "deadline_s": deadline_s,
            "evidence": evidence,
        }
        if not has_engine:
            return calls.ServiceCall(
                recent_failures=self.recent_failures,
                failure_domain=self.failure_domain,
                **shared,
            )
        return streams.StreamRequest(
            priority=_priority(route, customer),
            waited_ms=waited_ms,
            **shared,
        )

    def _evidence(self, subjects: tuple[str, ...]) -> evidences.Evidence:
        return evidences.Evidence(
            subjects,
            self.ctx.quarantine,
            self.ctx.clock,
            self.ctx.background,
        )

    def _target(self, route: catalogues.Route) -> str:
        weights = [target.weight for target in route.targets]
        if not any(weights):
            return route.targets[0].service
        return self.ctx.rng.choices(route.targets, weights)[0].service

    def _refuse(
        self,
        req: messages.CallerRequest,
        responder: frontend.Responder,
        refusal: exceptions.Refusal,
    ) -> None:
        self.ctx.metrics.refusals.labels(refusal.code).inc()
        self.ctx.log(
            "request_refused",
            request=req.metadata.request_id,
            code=refusal.code,
            status=refusal.status,
            ran=refusal.outcome,
            detail=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            begun=responder.headers_sent,
        )
        if responder.closed or responder.finished:
            return
        if responder.headers_sent:
            responder.abort()
            return
        body = json.dumps(refusal.body()).encode()
        headers = [
            JSON_TYPE,
            *self.ctx.headers.refusal_headers(req.metadata.request_id).items(),
        ]
        if refusal.retry_after_ms is not None:
            if not isinstance(refusal, exceptions.NodeStopping):
                fp = recent_refusals.fingerprint(req)
                self.ctx.recent_refusals.record(fp)
            after_s = refusal.retry_after_ms / clocks.MS_PER_S
            headers.append(("Retry-After", f"{after_s:.3f}"))
        responder.answer(refusal.status, headers, body)

    def _record_end(
        self,
        req: messages.CallerRequest,
        outcome: str,
        served: forwarding.ForwardedRequest | None,
    ) -> None:
        took_s = self.ctx.clock.monotonic() - req.received_s
        kind = served.route.kind if served is not None else "none"
        self.ctx.metrics.requests.labels(kind, outcome).inc()
        self.ctx.metrics.request_s.observe(took_s)
        self.ctx.log(
            "request_ended",
            request=req.metadata.request_id,
            outcome=outcome,
            took_ms=round(took_s * clocks.MS_PER_S),
            attempts=served.history if served is not None else [],
            may_have_run=served.may_have_run if served is not None else False,
            first_event_ms=_first_event_ms(served),
        )


def _customer(
    catalogue: catalogues.Catalogue,
    route: catalogues.Route,
    req: messages.CallerRequest,
) -> catalogues.Customer | None:
    if route.public or not catalogue.needs_keys:
        return None
    customer = catalogue.customer(req.metadata.key)
    if customer is None:
        raise exceptions.UnknownCustomer("the key belongs to no customer")
    return customer


def _priority(
    route: catalogues.Route, customer: catalogues.Customer | None
) -> int:
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _consistent_with_run(
    refusal: exceptions.Refusal,
    served: forwarding.ForwardedRequest | None,
) -> exceptions.Refusal:
    """Return a refusal that never states "not run" after a possible run."""
    may_have_run = served is not None and served.may_have_run
    if may_have_run and refusal.outcome == exceptions.NOT_RUN:
        return exceptions.UpstreamFailed(f"after a failed attempt: {refusal}")
    return refusal


def _internal_refusal(
    served: forwarding.ForwardedRequest | None,
) -> exceptions.Refusal:
    """Return the refusal of a request that a defect has ended."""
    if served is not None and served.attempted:
        return exceptions.InternalFailure("unexpected failure")
    return exceptions.InternalRefusal("unexpected failure", DEFECT_RETRY_MS)


def _first_event_ms(
    served: forwarding.ForwardedRequest | None,
) -> int | None:
    """Return the time to the first event of a stream, None without one."""
    first_s = getattr(served, "first_event_s", None)
    return None if first_s is None else round(first_s * clocks.MS_PER_S)
