"""Codec for the headers of requests and answers of callers and servers."""

from collections.abc import Iterable

from tornado import httputil

from balsamlug import limit_table
from balsamlug import notices
from balsamlug import numerals
from balsamlug.gateway import messages

# Headers that apply to a single connection.
_CONNECTION_HEADERS = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    }
)
# Headers that the gateway controls: those of a caller are never forwarded, and
# `dispatch_headers` sets the ones that a server needs.
_OWN_HEADERS = frozenset(
    {
        "Api-Key",
        "X-Tenant",
        "X-Expect-Instance",
        "X-Expect-Version",
        "X-Request-Urgency",
        "X-Deadline-Ms",
        "Last-Event-Id",
    }
)
_MEMBER_AT_FAULT = "At-Server"


def expected_instance(instance: str) -> dict[str, str]:
    """Return the header with which only this server accepts a request."""
    return {"X-Expect-Instance": instance}


class PlatformHeaders:
    """Decode and encode the headers of requests and answers."""

    def parse_request(
        self, headers: httputil.HTTPHeaders
    ) -> messages.RequestMetadata:
        """Return the metadata in the headers of a request."""
        prompt, answer = _tokens(headers.get("X-Token-Count", ""))
        return messages.RequestMetadata(
            request_id=headers.get("X-Attempt-Id", ""),
            key=headers.get("Api-Key", ""),
            deadline_ms=numerals.parse(headers.get("X-Deadline-Ms", "")),
            model=headers.get("X-Model", ""),
            prompt_tokens=prompt,
            answer_tokens=answer,
            # An estimate by the caller, often inaccurate.
            expected_tokens=numerals.parse(headers.get("X-Length-Hint", "")),
            prefix=tuple(_prefix(headers.get("X-Prefix-Hash", ""))),
            last_event=headers.get("Last-Event-Id", ""),
        )

    def forwarded_headers(
        self, headers: httputil.HTTPHeaders
    ) -> dict[str, str]:
        """Return the headers that are forwarded to a server unchanged."""
        dropped = _connection_headers(headers) | _OWN_HEADERS
        return {
            name: value
            for name, value in headers.items()
            if name not in dropped
        }

    def dispatch_headers(self, dispatch: messages.Dispatch) -> dict[str, str]:
        """Return the headers that the gateway adds for a server."""
        headers = {
            "X-Deadline-Ms": str(max(1, int(dispatch.remaining_ms))),
            **expected_instance(dispatch.instance),
        }
        if dispatch.customer:
            headers["X-Tenant"] = dispatch.customer
        if dispatch.urgency is not None:
            headers["X-Request-Urgency"] = str(dispatch.urgency)
        if dispatch.last_event:
            headers["Last-Event-Id"] = dispatch.last_event
        return headers

    def parse_response(
        self, headers: httputil.HTTPHeaders
    ) -> messages.ResponseMetadata:
        """Return the metadata in the headers of an answer."""
        return messages.ResponseMetadata(
            request_id=headers.get("X-Attempt-Id", ""),
            sealed="X-Server-Seal" in headers,
            not_run="X-Not-Executed" in headers,
            member_at_fault=headers.get(_MEMBER_AT_FAULT, ""),
            rate_limit=limit_table.parse(headers.get("Server-Limit", "")),
            notice=notices.parse(
                headers.get("Server-Leaving", ""),
                headers.get("Retry-After", ""),
            ),
        )

    def returned_headers(
        self, headers: httputil.HTTPHeaders
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that are sent to the caller."""
        dropped = _connection_headers(headers)
        return [
            (name, value)
            for name, value in headers.get_all()
            if name not in dropped
        ]

    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers that identify the request in a local refusal."""
        return {"X-Attempt-Id": request_id} if request_id else {}


def _connection_headers(headers: httputil.HTTPHeaders) -> frozenset[str]:
    """Return the names of headers that apply to a single connection."""
    named = headers.get("Connection", "").split(",")
    return _CONNECTION_HEADERS | {name.strip().title() for name in named}


def _tokens(raw: str) -> tuple[int, int]:
    prompt, _, answer = raw.partition(",")
    return numerals.parse(prompt.strip()) or 0, numerals.parse(
        answer.strip()
    ) or 0


def _prefix(raw: str) -> Iterable[messages.PromptPart]:
    for part in raw.split(","):
        name, colon, tokens = part.strip().partition(":")
        count = numerals.parse(tokens)
        if colon and count is not None:
            yield messages.PromptPart(name, count)
