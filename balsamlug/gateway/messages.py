"""Requests and answers in the gateway's terms, without header names.

A `HeaderCodec` translates between these types and the headers on the wire.
"""

from typing import Protocol

import attrs
from tornado import httputil

from balsamlug import exceptions
from balsamlug import notices


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen
class RequestMetadata:
    """Metadata of a request, from its headers.

    Attributes:
      request_id: unique for each attempt of a caller.
      key: API key of the caller.
      deadline_ms: how long the caller waits, None if it is not stated.
      answer_tokens: maximum number of tokens in the answer.
      expected_tokens: the caller's estimate of the number of tokens in the
        answer, None without one.
      last_event: id of the last event that the caller has received, when it
        resumes a stream.
    """

    request_id: str
    key: str = ""
    deadline_ms: int | None = None
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int | None = None
    prefix: tuple[PromptPart, ...] = ()
    last_event: str = ""


@attrs.frozen
class CallerRequest:
    """One complete request of a caller.

    Attributes:
      target: path and query as they were sent.
      received_s: monotonic time at which the headers were complete.
      refusal: why the request must not be served, None if it may.
    """

    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes
    metadata: RequestMetadata
    received_s: float
    refusal: exceptions.Refusal | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Dispatch:
    """Metadata that the gateway sends to the upstream with a request.

    Attributes:
      remaining_ms: time left for the upstream to answer.
      instance: id of the only instance that may run the request.
      customer: owner of the caller's key, empty on public routes.
      urgency: 0 is the most urgent; None leaves it to the upstream.
      last_event: id of the event after which the answer resumes, if any.
    """

    remaining_ms: float
    instance: str
    customer: str = ""
    urgency: int | None = None
    last_event: str = ""


@attrs.frozen
class ResponseMetadata:
    """Metadata of an upstream's answer, from its headers.

    Attributes:
      request_id: id of the request that the answer belongs to.
      sealed: whether the answer has the seal by which the upstream vouches for
        it.
      not_run: whether the upstream states that the request did not run.
      member_at_fault: instance that the upstream considers lost.
      rate_limit: requests per second that the upstream accepts from all nodes
        together, None if it states no limit.
      notice: what the upstream states of its availability.
    """

    request_id: str
    sealed: bool
    not_run: bool
    member_at_fault: str = ""
    rate_limit: float | None = None
    notice: notices.Notice = notices.Notice()


class HeaderCodec(Protocol):
    """Decode and encode the headers on both sides of the gateway."""

    def parse_request(self, headers: httputil.HTTPHeaders) -> RequestMetadata:
        """Return the metadata in the headers of a request."""

    def forwarded_headers(
        self, headers: httputil.HTTPHeaders
    ) -> dict[str, str]:
        """Return the headers that are forwarded to an upstream unchanged."""

    def dispatch_headers(self, dispatch: Dispatch) -> dict[str, str]:
        """Return the headers that the gateway adds for an upstream."""

    def parse_response(self, headers: httputil.HTTPHeaders) -> ResponseMetadata:
        """Return the metadata in the headers of an answer."""

    def returned_headers(
        self, headers: httputil.HTTPHeaders
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that are sent to the caller."""

    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers that identify the request in a local refusal."""
