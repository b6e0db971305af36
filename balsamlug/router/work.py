"""Requests that the scheduler of a router handles, and its decisions."""

import attrs

from balsamlug import exceptions

# Resumed work waits at least this long for a ready group before it is refused,
# because its caller already has a part of the answer. A broken group is usually
# repaired, or a permit granted, within this time.
RESUME_TIMEOUT_S = 30.0


@attrs.define
class Work:
    """A generation request, or the remainder of one.

    Attributes:
      id: unique among the work that the scheduler holds.
      priority: 0 is the most urgent, 9 the least.
      weight: customer's share of the service relative to other customers.
      deadline_s: monotonic time at which the first token is due.
      fingerprint: hash of the request, which identifies copies of it.
      prefix_hash: hash of the shareable prompt prefix, empty for none.
      resume_from: number of tokens that the caller already has.
      exclude: ids of the groups that must not run it.
    """

    id: str
    customer: str
    deployment: str
    priority: int
    weight: float
    deadline_s: float
    prompt_tokens: int
    max_tokens: int
    fingerprint: str = ""
    prefix_hash: str = ""
    resume_from: int = 0
    exclude: frozenset[str] = frozenset()


@attrs.frozen
class Start:
    """Send the work to the head of a group.

    Attributes:
      engine_priority: priority in the queue of the engine, 0 is first.
    """

    work_id: str
    group_id: str
    head_address: str
    generation: int
    engine_priority: int


@attrs.frozen
class Refuse:
    """Reject queued work with an error; it has not run since its submit."""

    work_id: str
    refusal: exceptions.Refusal


@attrs.frozen
class Preempt:
    """Cancel the work upstream and submit the remainder of it again."""

    work_id: str


Decision = Start | Refuse | Preempt


@attrs.define(eq=False)
class Entry:
    """Work that the scheduler tracks, from its submit to its end.

    Attributes:
      cost: estimated slot time, in decoded tokens.
      is_long: whether it counts against the share of long work.
      queued_s: monotonic time of the submit.
      group_id: group that runs it, empty while it is queued.
      tokens: tokens generated since the start.
    """

    work: Work
    cost: float
    is_long: bool
    queued_s: float
    group_id: str = ""
    started_s: float = 0.0
    first_token_s: float | None = None
    tokens: int = 0
    preempting: bool = False

    @property
    def resumed(self) -> bool:
        """Return whether the caller already has a part of the answer."""
        return self.work.resume_from > 0
