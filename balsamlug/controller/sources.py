"""Kinds of state that a node reads from the object API."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from balsamlug import clock as clocks
from balsamlug.controller import pacing
from balsamlug.store import client


@attrs.frozen
class Wait:
    """How long a read waits for a change.

    A connection that has gone silent delays the node by the sum of both.

    Attributes:
      timeout_ms: how long the object API may delay its answer.
      grace_s: how long the answer may take after that.
    """

    timeout_ms: int
    grace_s: float

    @property
    def timeout_s(self) -> float:
        """Return how long the object API may delay its answer."""
        return self.timeout_ms / clocks.MS_PER_S


# Of a read after a failed one. It returns at once what was missed, and gives a
# slow store more time to answer.
CATCH_UP = Wait(timeout_ms=1, grace_s=client.REQUEST_TIMEOUT_S)

Fetch = Callable[[int | None, Wait], Awaitable[int | None]]


@attrs.define
class Source:
    """One kind of state in the object API, and the last revision read.

    Attributes:
      fetch: reads and publishes; takes and returns the revision, or returns
        None if the complete state is to be read next.
      wait: of a read after a successful one.
      has_state: returns whether the node has this state from any origin.
      is_single: whether the complete state is a single object, which is never
        larger than the changes since a revision.
    """

    name: str
    fetch: Fetch
    has_state: Callable[[], bool]
    backoff: pacing.Backoff
    bucket: pacing.TokenBucket
    wait: Wait
    interval_s: float
    is_single: bool = False
    since: int | None = None
    failing_since_s: float | None = None

    @property
    def next_wait(self) -> Wait:
        """Return how long the next read waits for a change."""
        return self.wait if self.failing_since_s is None else CATCH_UP
