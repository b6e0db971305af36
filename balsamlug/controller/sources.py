"""Kinds of state that a node reads from the object API."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from balsamlug.controller import pacing

Fetch = Callable[[int | None], Awaitable[int | None]]


@attrs.define
class Source:
    """One kind of state in the object API, and the last revision read.

    Attributes:
      fetch: reads and publishes; takes and returns the revision, or returns
        None if the complete state is to be read next.
      has_state: returns whether the node has this state from any origin.
      is_single: whether the complete state is a single object, which is never
        larger than the changes since a revision.
    """

    name: str
    fetch: Fetch
    has_state: Callable[[], bool]
    backoff: pacing.Backoff
    bucket: pacing.TokenBucket
    watch_ms: int
    interval_s: float
    is_single: bool = False
    since: int | None = None
    failing_since_s: float | None = None
