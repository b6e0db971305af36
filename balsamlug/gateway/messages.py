"""Requests and answers as the gateway sees them, free of header names."""

from typing import Protocol

import attrs
from tornado import httputil


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen
class Facts:
    """What the headers of a request tell.

    Attributes:
      request_id: unique for each try of a caller.
      deadline_ms: how long the caller waits, None if it does not tell.
      answer_tokens: most tokens that the answer may have.
      expected_tokens: a caller's estimate of that, None without one.
      last_event: id of the last event that the caller has, if it resumes.
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
    """One whole request of a caller.

    Attributes:
      target: path and query as they were sent.
      received_s: monotonic time at which its headers were complete.
    """

    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes
    facts: Facts
    received_s: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Dispatch:
    """What this system tells the upstream about a request.

    Attributes:
      remaining_ms: time that the upstream may take.
      instance: id of the only instance that may run it.
      customer: owner of the caller's key, empty on public routes.
      urgency: 0 is first; None leaves it to the upstream.
      last_event: the answer goes on after this event, if any.
    """

    remaining_ms: float
    instance: str
    customer: str = ""
    urgency: int | None = None
    last_event: str = ""


@attrs.frozen
class Verdict:
    """What the headers of an upstream's answer tell.

    Attributes:
      sealed: whether the upstream vouches for the answer.
      not_run: whether it states that the request did not run.
      member_at_fault: instance that the upstream holds to be lost.
    """

    request_id: str
    sealed: bool
    not_run: bool
    member_at_fault: str = ""


class Headers(Protocol):
    """Names of the headers on both sides of the gateway."""

    def facts(self, headers: httputil.HTTPHeaders) -> Facts:
        """Return what the headers of a request tell."""

    def forwarded(self, headers: httputil.HTTPHeaders) -> dict[str, str]:
        """Return the headers that go on to an upstream unchanged."""

    def dispatched(self, dispatch: Dispatch) -> dict[str, str]:
        """Return the headers that this system adds for an upstream."""

    def verdict(self, headers: httputil.HTTPHeaders) -> Verdict:
        """Return what the headers of an answer tell."""

    def returned(self, headers: httputil.HTTPHeaders) -> list[tuple[str, str]]:
        """Return the headers of an answer that go back to the caller."""

    def refused(self, request_id: str) -> dict[str, str]:
        """Return the headers that name the request in an own answer."""
