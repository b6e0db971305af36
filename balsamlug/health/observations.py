"""Results of probing engine instances, and the parser of their status."""

from collections.abc import Callable
import enum
from typing import Any

import attrs

from balsamlug import exceptions

# A member counts as unresponsive when its last answered probe was sent longer
# ago. The limit allows for one lost probe: probes are sent every 0.5 s.
MAX_ANSWER_AGE_S = 1.5
# Bounds of the values in a status. Every receiver would reject a report with
# larger values.
MAX_TEXT = 200
MAX_NUMBER = 10**9
MAX_GENERATION = 2**53


class Failure(enum.StrEnum):
    """How a probe failed."""

    SILENT = "does not answer"
    REFUSED = "refuses connections"
    WRONG_ANSWER = "answers wrongly"


class EngineState(enum.StrEnum):
    """State of an engine in its own status."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Load:
    """Load that an engine reports."""

    running: int = 0
    queued: int = 0
    capacity: int = 0
    cached_tokens: int = 0


@attrs.frozen
class EngineStatus:
    """Answer of `GET /v1/status`, or what the platform's list announces.

    Attributes:
      staged: models whose weights the host holds; empty if not announced.
      hidden: whether the instance responds but is not in the platform's list.
    """

    instance: str
    incarnation: str
    state: EngineState
    group: str
    generation: int
    rank: int
    members: tuple[str, ...]
    model: str
    version: str
    load: Load
    load_age_ms: int
    staged: tuple[str, ...] = ()
    hidden: bool = False


@attrs.frozen
class Observation:
    """State of one instance as observed by one prober.

    Attributes:
      status: status of the last answer, None before the first one.
      sent_at_s: when the probe of the last answer was sent. The status is
        at least as recent, even if this process was paused since.
      failure: failure of the last probe, None when it was answered.
      failing_since_s: when the first failed probe since the last answer was
        sent.
    """

    status: EngineStatus | None = None
    sent_at_s: float = 0.0
    failure: Failure | None = None
    failing_since_s: float = 0.0

    def answered(self, status: EngineStatus, sent_at_s: float) -> "Observation":
        """Return the observation after an answered probe."""
        if self.status is not None and sent_at_s < self.sent_at_s:
            return self
        return Observation(status, sent_at_s)

    def failed(self, failure: Failure, sent_at_s: float) -> "Observation":
        """Return the observation after a failed probe."""
        if self.status is not None and sent_at_s < self.sent_at_s:
            return self
        since_s = self.failing_since_s if self.failure else sent_at_s
        return attrs.evolve(self, failure=failure, failing_since_s=since_s)

    def problem(self, now_s: float) -> Failure | None:
        """Return why the instance counts as failed now, None if it does not.

        A refused connection or a wrong answer counts at once, a missing answer
        only after MAX_ANSWER_AGE_S.
        """
        if self.failure in (Failure.REFUSED, Failure.WRONG_ANSWER):
            return self.failure
        if self.status is None or now_s - self.sent_at_s > MAX_ANSWER_AGE_S:
            return Failure.SILENT
        return None


def parse_status(body: Any) -> EngineStatus:
    """Return the status in a JSON body.

    Raises:
      ProtocolError: a field is missing or has the wrong type.
    """
    try:
        return _status(body)
    except exceptions.MALFORMED_VALUE as exc:
        raise exceptions.ProtocolError("malformed_status") from exc


def _status(body: dict) -> EngineStatus:
    load = body.get("load") or {}
    return EngineStatus(
        instance=_text(body["instance"]),
        incarnation=_text(body["incarnation"]),
        state=EngineState(body["state"]),
        group=_text(body.get("group") or ""),
        generation=_number(body.get("generation"), MAX_GENERATION),
        rank=_number(body.get("rank"), MAX_NUMBER),
        members=tuple(_text(m) for m in body.get("members") or ()),
        model=_text(body.get("model") or ""),
        version=_text(body.get("version") or ""),
        load=Load(**{f: _number(load.get(f), MAX_NUMBER) for f in LOAD_FIELDS}),
        load_age_ms=_number(body.get("load_age_ms"), MAX_NUMBER),
    )


LOAD_FIELDS = tuple(f.name for f in attrs.fields(Load))


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or len(raw) > MAX_TEXT:
        raise TypeError("not a short string")
    return raw


def _number(raw: Any, maximum: int) -> int:
    number = int(raw or 0)
    if not 0 <= number <= maximum:
        raise ValueError(f"{number} is out of range")
    return number


Observations = dict[str, Observation]
Listener = Callable[[str], None]
