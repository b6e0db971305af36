"""Checks of the promises to callers.

The checker compares the answers that clients received with the requests that
the servers ran.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import json
import math

import attrs

from balsamlug_standins import members
from balsamlug_standins import site
from soak import clients
from soak import disruptions
from soak import servers

STREAM = site.STREAM["Name"]
# Of the route of the second service with model servers.
SECOND_STREAM = "talk"
STREAMS = (STREAM, SECOND_STREAM)
BOOKING = "desk"
OK = 200
UNAUTHORIZED = 401
# Crashes by a prompt part, and arrivals of requests with it after them, that
# the platform's rules allow.
ALLOWED_CRASHES = 5
ALLOWED_LATE_ARRIVALS = 3
# Requests on each side of a comparison, and the least ratio of their shares.
MIN_COMPARED = 20
MIN_BEGIN_RATIO = 0.5
# Statuses that promise the caller that its request did not run.
NOT_RUN = frozenset({400, 401, 404, 408, 421, 429, 503})
# Requests on kept connections that were passed on to sound servers and may end
# without an answer, by the platform's rules.
ALLOWED_CLOSED = 3
# The platform's LossSlackMs, in s.
LOSS_SLACK_S = 0.2
# Statuses of a node that refuses a request before its head is complete.
UNREAD = frozenset({408, 503})
# A request that was sent later than this after a SIGTERM may not be cut, and an
# earlier one only in the last part of the grace period.
EXCUSED_S = 3.0
LAST_PART = 1 / 6
EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
).encode()


@attrs.define
class PromiseChecker:
    """Collects the answers of a run and reports broken promises.

    Attributes:
      answer_counts: number of answers by kind, status and completeness.
      streams: answers to streams, in the order of their end.
      cut: answers that ended incomplete.
    """

    record: servers.Record
    answer_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    streams: list[clients.Answer] = attrs.field(factory=list)
    cut: list[clients.Answer] = attrs.field(factory=list)
    _not_run: set[str] = attrs.field(factory=set)
    _refused_keys: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def check_answer(self, answer: clients.Answer) -> None:
        """Check one answer to a request with a valid key."""
        self.answer_counts[answer.kind, answer.status, answer.complete] += 1
        if answer.kind == STREAM:
            self.streams.append(answer)
        if not answer.complete:
            self.cut.append(answer)
        if answer.status in NOT_RUN:
            self._not_run.add(answer.request_id)
        if answer.status == OK:
            self._check_success(answer)
        elif answer.status and not _may_be_unnamed(answer):
            self._record_violation(answer, "names no request")
        if answer.status in {429, 503} and not _has_retry_after(answer):
            self._record_violation(answer, "has no time to come back")

    def check_revoked_key(self, key: str, answer: clients.Answer) -> None:
        """Check an answer to a request with a revoked key.

        A node may accept the key until the revocation reaches it, but never
        after it has refused the key once. A stream that began before may end
        after the refusal of a request on another connection.
        """
        checked = (answer.node, key)
        if answer.status == UNAUTHORIZED:
            self._refused_keys.setdefault(checked, answer.ended_s)
            return
        refused_s = self._refused_keys.get(checked, math.inf)
        if answer.status == OK and answer.sent_s >= refused_s:
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

    def cut_requests(
        self, stops: list[tuple[int, float]], grace_s: float
    ) -> list[str]:
        """Return the requests that a node passed on and cut in a calm run.

        Args:
          stops: node and time of each SIGTERM.
        """
        return [
            f"{answer.request_id} ran and was cut: sent {sent_s:.2f} s, ended"
            f" {sent_s + answer.ended_s - answer.sent_s:.2f} s after the"
            f" SIGTERM of node {answer.node}"
            for answer in self.cut
            if answer.request_id in self.record.runs
            and answer.ended_s - answer.sent_s < clients.DEADLINE_MS / 1000
            and not _is_excused(answer, stops, grace_s)
            for sent_s in [answer.sent_s - _last_stop_s(answer, stops)]
        ]

    def closed_requests(
        self, disrupted: disruptions.Disruptions, crashes: list[float]
    ) -> list[str]:
        """Return the requests that nodes in touch closed unanswered.

        A few are allowed. Counted are requests from kept connections that ran
        at sound servers.

        Args:
          crashes: times at which servers crashed.
        """
        closed = [
            answer
            for answer in self.cut
            if answer.kept
            and answer.request_id in self.record.runs
            and answer.request_id not in self.record.broken_off
            and disrupted.is_in_touch_throughout(
                answer.node, answer.sent_s, answer.ended_s
            )
            and disrupted.are_servers_calm(answer.ended_s)
            and not any(
                answer.sent_s <= time_s <= answer.ended_s for time_s in crashes
            )
        ]
        if len(closed) <= ALLOWED_CLOSED:
            return []
        return [
            f"{a.request_id} ran and was closed after"
            f" {a.ended_s - a.sent_s:.2f} s by node {a.node} in touch"
            for a in closed
        ]

    def unanswered_requests(self) -> list[str]:
        """Return the whole requests that did not run and got no answer."""
        return [
            f"{a.request_id} got no answer for {a.ended_s - a.whole_s:.2f} s"
            f" from node {a.node}"
            for a in self.cut
            if not a.status
            and a.whole_s
            and a.ended_s - a.whole_s > LOSS_SLACK_S
            and a.request_id not in self.record.runs
        ]

    def _check_success(self, answer: clients.Answer) -> None:
        if answer.headers.get("x-attempt-id") != answer.request_id:
            self._record_violation(answer, "belongs to another request")
        if "x-server-seal" not in answer.headers:
            self._record_violation(answer, "is not from a server")
        if answer.kind in STREAMS:
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


@attrs.frozen
class Sound:
    """A sound request: when and where it was sent, and whether it began."""

    sent_s: float
    node: int
    began: bool


@attrs.frozen
class CrashingPart:
    """What was seen while requests with a part that crashes servers came.

    Attributes:
      crashes: times of the crashes, in order.
      arrivals: time and sending node of each request with the part that
        reached a server.
    """

    start_s: float
    end_s: float
    crashes: list[float]
    arrivals: list[tuple[float, int]]
    sound: list[Sound]
    disrupted: disruptions.Disruptions

    def violations(self) -> list[str]:
        """Return which of the two promises are broken."""
        broken = []
        if len(self.late_arrivals()) > ALLOWED_LATE_ARRIVALS:
            broken.append(f"crashing part came late too often: {self}")
        before, after = self.before(), self.after()
        if min(len(before), len(after)) < MIN_COMPARED:
            return broken
        if _share(after) < MIN_BEGIN_RATIO * _share(before):
            broken.append(f"sound requests did not begin: {self}")
        return broken

    def __str__(self) -> str:
        before, after = self.before(), self.after()
        return (
            f"{len(self.crashes)} crashes, {len(self.late_arrivals())} late,"
            f" sound requests that began: {_share(before):.2f} of"
            f" {len(before)}, then {_share(after):.2f} of {len(after)}"
        )

    def late_arrivals(self) -> list[float]:
        """Return the arrivals from nodes in touch that come too late."""
        if len(self.crashes) < ALLOWED_CRASHES:
            return []
        bound_s = self._bound_s() + disruptions.STABLE_WINDOW_S
        return [
            time_s
            for time_s, node in self.arrivals
            if time_s > bound_s and self.disrupted.is_in_touch(node, time_s)
        ]

    def before(self) -> list[Sound]:
        """Return the sound requests before the first with the part."""
        return [s for s in self._calm() if s.sent_s < self.start_s]

    def after(self) -> list[Sound]:
        """Return the sound requests that must begin as often as before."""
        if not self.crashes:
            return []
        bound_s = self._bound_s() + 2 * disruptions.STABLE_WINDOW_S
        return [s for s in self._calm() if bound_s < s.sent_s < self.end_s]

    def _bound_s(self) -> float:
        """Return the time of the fifth crash, or the last if there are less."""
        return self.crashes[:ALLOWED_CRASHES][-1]

    def _calm(self) -> list[Sound]:
        return [
            s
            for s in self.sound
            if self.disrupted.is_in_touch(s.node, s.sent_s)
            and self.disrupted.are_servers_calm(s.sent_s)
        ]


def late_keys(
    answers: Iterable[tuple[str, clients.Answer]],
    revoked_s: dict[str, float],
    bound_s: float,
    is_excused: Callable[[str, clients.Answer], bool],
) -> list[str]:
    """Return the revoked keys that nodes took later than a bound allows.

    Args:
      answers: with the key of each request.
      revoked_s: when the store had accepted the revocation of each key.
      is_excused: whether the bound does not hold for a key and an answer.
    """
    return [
        f"{answer.request_id} took the key {key}"
        f" {answer.sent_s - revoked_s[key]:.2f} s after its revocation"
        for key, answer in answers
        if answer.status == OK
        and answer.sent_s > revoked_s[key] + bound_s
        and not is_excused(key, answer)
    ]


def misrouted(members: Iterable[servers.RecordingMember]) -> list[str]:
    """Return the requests that reached a server of another service."""
    return [
        f"{request_id} reached {member.id} of {member.service}"
        for member in members
        for _, request_id in member.arrivals
        if request_id.startswith(SECOND_STREAM)
        != (member.service == servers.SECOND_SERVICE)
    ]


def _share(requests: list[Sound]) -> float:
    return sum(r.began for r in requests) / max(len(requests), 1)


def _booking_body(answer: clients.Answer) -> bytes:
    return json.dumps({"booked": answer.request_id}).encode()


def _last_stop_s(
    answer: clients.Answer, stops: list[tuple[int, float]]
) -> float:
    """Return the last SIGTERM of a request's node before its end, or 0."""
    return max(
        (
            at_s
            for n, at_s in stops
            if n == answer.node and at_s < answer.ended_s
        ),
        default=0.0,
    )


def _is_excused(
    answer: clients.Answer, stops: list[tuple[int, float]], grace_s: float
) -> bool:
    stop_s = _last_stop_s(answer, stops)
    is_early = answer.sent_s - stop_s <= EXCUSED_S
    in_last_part = answer.ended_s - stop_s >= grace_s * (1 - LAST_PART)
    return is_early and in_last_part


def _may_be_unnamed(answer: clients.Answer) -> bool:
    """Return whether an answer names a request, or may not know its name."""
    is_early = answer.split and answer.status in UNREAD
    return is_early or bool(answer.headers.get("x-attempt-id"))


def _has_retry_after(answer: clients.Answer) -> bool:
    try:
        return float(answer.headers.get("retry-after", "")) >= 0
    except ValueError:
        return False
