"""What streams and calls of plain services have in common."""

import attrs

from balsamlug import catalogue as catalogues
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import context as contexts
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.router import upstream


@attrs.define(eq=False, kw_only=True)
class Forwarded:
    """A request of a caller that is sent to one upstream after another.

    Attributes:
      customer: name of the owner of the key, empty on public routes.
      sent: upstreams that got the request.
      may_have_run: whether one of them may have begun to run it.
      history: upstream and ending of each attempt.
    """

    ctx: contexts.Context
    req: messages.CallerRequest
    responder: frontend.Responder
    route: catalogues.Route
    customer: str
    deadline_s: float
    sent: int = 0
    may_have_run: bool = False
    history: list[str] = attrs.field(factory=list)
    _attempt: attempts.Attempt | None = None
    _gone: bool = False

    async def run(self) -> None:
        """Serve the request to its end.

        Raises:
          Refusal: it cannot be served.
        """
        raise NotImplementedError

    def _caller_gone(self) -> None:
        self._gone = True
        if self._attempt is not None:
            self._attempt.abort(attempts.Ending.CALLER_GONE)

    def _forwarded(
        self, address: str, dispatch: messages.Dispatch, body: bytes | None
    ) -> upstream.Call:
        """Return the call that hands the request to an upstream."""
        headers = self.ctx.headers
        return upstream.Call(
            address,
            self.req.method,
            self.req.target,
            headers.forwarded(self.req.headers) | headers.dispatched(dispatch),
            body,
            attempts.CONNECT_TIMEOUT_S,
        )

    def _pass_on(self, answer: attempts.Answer) -> None:
        """Give a whole answer of an upstream to the caller."""
        returned = self.ctx.headers.returned(answer.response.headers)
        self.responder.answer(answer.status, returned, answer.body)
