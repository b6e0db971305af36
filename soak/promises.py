"""Checks of the promises to callers.

The checker compares the answers that clients received with the requests that
the servers ran.
"""

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
# Statuses that promise the caller that its request did not run.
NOT_RUN = frozenset({400, 401, 404, 408, 421, 429, 503})
EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
).encode()


@attrs.define
class PromiseChecker:
    """Collects the answers of a run and reports broken promises.

    Attributes:
      answer_counts: number of answers by kind, status and completeness.
    """

    record: servers.Record
    answer_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _not_run: set[str] = attrs.field(factory=set)
    _refused_keys: set[tuple[int, str]] = attrs.field(factory=set)

    def check_answer(self, answer: clients.Answer) -> None:
        """Check one answer to a request with a valid key."""
        self.answer_counts[answer.kind, answer.status, answer.complete] += 1
        if answer.status in NOT_RUN:
            self._not_run.add(answer.request_id)
        if answer.status == OK:
            self._check_success(answer)
        elif answer.status and not answer.headers.get("x-attempt-id"):
            self._record_violation(answer, "names no request")
        if answer.status in {429, 503} and not _has_retry_after(answer):
            self._record_violation(answer, "has no time to come back")

    def check_revoked_key(self, key: str, answer: clients.Answer) -> None:
        """Check an answer to a request with a revoked key.

        A node may accept the key until the revocation reaches it, but never
        after it has refused the key once.
        """
        if answer.status == UNAUTHORIZED:
            self._refused_keys.add((answer.node, key))
        elif answer.status == OK and (answer.node, key) in self._refused_keys:
            self._record_violation(answer, f"took the key {key} again")

    def finish(self) -> list[str]:
        """Return every broken promise, once all requests have ended."""
        runs = self.record.runs
        repeated = [
            f"{name} ran {count} times"
            for name, count in runs.items()
            if count > 1 and name.startswith(BOOKING)
        ]
        refused = [
            f"{n} ran and was refused" for n in self._not_run & set(runs)
        ]
        return self.record.violations + repeated + refused

    def _check_success(self, answer: clients.Answer) -> None:
        if answer.headers.get("x-attempt-id") != answer.request_id:
            self._record_violation(answer, "belongs to another request")
        if "x-server-seal" not in answer.headers:
            self._record_violation(answer, "is not from a server")
        if answer.kind == STREAM:
            truncated = answer.complete and answer.body != EVENTS
            if truncated or not EVENTS.startswith(answer.body):
                self._record_violation(
                    answer, f"has the events {answer.body!r}"
                )
        elif answer.complete and answer.body != _booking_body(answer):
            self._record_violation(answer, f"has the body {answer.body!r}")

    def _record_violation(self, answer: clients.Answer, problem: str) -> None:
        self.record.violations.append(
            f"answer {answer.status} to {answer.request_id} {problem}"
        )


def _booking_body(answer: clients.Answer) -> bytes:
    return json.dumps({"booked": answer.request_id}).encode()


def _has_retry_after(answer: clients.Answer) -> bool:
    try:
        return float(answer.headers.get("retry-after", "")) >= 0
    except ValueError:
        return False
