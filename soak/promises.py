"""Promises to callers, checked against what servers saw."""

import collections
import json

import attrs

from balsamlug_standins import members
from balsamlug_standins import site
from soak import clients
from soak import servers

STREAM = site.STREAM["Name"]
BOOKING = "desk"
OK = 200
UNAUTHORIZED = 401
# Statuses that tell a caller that its request did not run.
NOT_RUN = frozenset({400, 401, 404, 408, 421, 429, 503})
EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
).encode()


@attrs.define
class Judge:
    """Keeps what callers saw and finds broken promises.

    Attributes:
      seen: number of answers by kind and status.
    """

    record: servers.Record
    seen: collections.Counter = attrs.field(factory=collections.Counter)
    _not_run: set[str] = attrs.field(factory=set)
    _refused_keys: set[tuple[int, str]] = attrs.field(factory=set)

    def answered(self, answer: clients.Answer) -> None:
        """Check one answer."""
        self.seen[answer.kind, answer.status, answer.whole] += 1
        if answer.status in NOT_RUN:
            self._not_run.add(answer.request_id)
        if answer.status == OK:
            self._check_success(answer)
        elif answer.status and not answer.headers.get("x-attempt-id"):
            self._broken(answer, "names no request")
        if answer.status in {429, 503} and not _is_time(answer):
            self._broken(answer, "has no time to come back")

    def asked_with(self, key: str, answer: clients.Answer) -> None:
        """Check an answer to a request with a key that was revoked."""
        if answer.status == UNAUTHORIZED:
            self._refused_keys.add((answer.node, key))
        elif answer.status == OK and (answer.node, key) in self._refused_keys:
            self._broken(answer, f"took the key {key} again")

    def finish(self) -> list[str]:
        """Return every broken promise, once all requests have ended."""
        runs = self.record.runs
        twice = [
            f"{name} ran {count} times"
            for name, count in runs.items()
            if count > 1 and name.startswith(BOOKING)
        ]
        untrue = [f"{n} ran and was refused" for n in self._not_run & set(runs)]
        return self.record.violations + twice + untrue

    def _check_success(self, answer: clients.Answer) -> None:
        if answer.headers.get("x-attempt-id") != answer.request_id:
            self._broken(answer, "belongs to another request")
        if "x-server-seal" not in answer.headers:
            self._broken(answer, "is not from a server")
        if answer.kind == STREAM:
            cut_short = answer.whole and answer.body != EVENTS
            if cut_short or not EVENTS.startswith(answer.body):
                self._broken(answer, f"has the events {answer.body!r}")
        elif answer.whole and answer.body != _booked(answer):
            self._broken(answer, f"has the body {answer.body!r}")

    def _broken(self, answer: clients.Answer, what: str) -> None:
        self.record.violations.append(
            f"answer {answer.status} to {answer.request_id} {what}"
        )


def _booked(answer: clients.Answer) -> bytes:
    return json.dumps({"booked": answer.request_id}).encode()


def _is_time(answer: clients.Answer) -> bool:
    try:
        return float(answer.headers.get("retry-after", "")) >= 0
    except ValueError:
        return False
