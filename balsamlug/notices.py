"""What upstreams state of themselves in their answers to this node.

An upstream that states that it leaves gets no more requests of this node, and
one that rejects a request with a time gets none until that time is over.

An upstream takes the node that opened the connection for the sender. What it
states through another node therefore holds for that node as well, and what it
has stated to a node holds for all that is sent through that node.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import TypeVar

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.messages import types

# An upstream has left long before this; its keys are then forgotten.
RETENTION_S = 600.0
# A longer time is taken for an error of the upstream.
MAX_PAUSE_S = 600.0
MAX_PAUSE_MS = int(MAX_PAUSE_S * clocks.MS_PER_S)
# Limits the notices in one message; pauses are kept before older notices of
# upstreams that leave.
MAX_SHARED = 256
REJECTED_STATUS = 503
# Spreads the returns of callers that were rejected at the same time.
MAX_SPREAD_S = 0.5

_T = TypeVar("_T")


@attrs.frozen
class Notice:
    """What an upstream states in an answer.

    Attributes:
      leaving: whether it leaves.
      retry_after_s: how long it wants no more requests of this node, None if
        it does not state that.
    """

    leaving: bool = False
    retry_after_s: float | None = None


@attrs.define(eq=False)
class Notices:
    """Notices by the key of one life of an upstream (`limit_table`).

    Attributes:
      _retention_s: how long an upstream counts as leaving.
      on_stated: called with each notice in an answer, and the node through
        which the answer came, empty if it came directly.
    """

    _clock: clocks.Clock
    _rng: random.Random
    _retention_s: float = RETENTION_S
    on_stated: Callable[[types.UpstreamNotice, str], None] = (
        lambda notice, relay: None
    )
    _left_s: dict[bytes, float] = attrs.field(factory=dict)
    _paused_until_s: dict[bytes, float] = attrs.field(factory=dict)

    def observe(
        self,
        key: bytes,
        status: int,
        notice: Notice,
        relay: str = "",
        name: str = "",
    ) -> None:
        """Record what an answer states.

        Args:
          relay: node through which the answer came, empty if directly.
          name: id of the upstream, for the log.
        """
        pause_s = notice.retry_after_s if status == REJECTED_STATUS else None
        pause_ms = int(min(pause_s or 0, MAX_PAUSE_S) * clocks.MS_PER_S)
        if not notice.leaving and not pause_ms:
            return
        if notice.leaving and not self.is_leaving(key):
            eliot.log_message("upstream_leaving", instance=name, relay=relay)
        if pause_ms:
            eliot.log_message(
                "upstream_paused",
                instance=name,
                retry_after_s=pause_s,
                relay=relay,
            )
        stated = types.UpstreamNotice(key, notice.leaving, pause_ms)
        self.record(stated)
        self.on_stated(stated, relay)

    def record(self, notice: types.UpstreamNotice) -> None:
        """Record a notice that holds for this node from now on."""
        now_s = self._clock.monotonic()
        if notice.leaving and not self.is_leaving(notice.key):
            self._left_s[notice.key] = now_s
        if notice.pause_ms:
            self._paused_until_s[notice.key] = (
                now_s + notice.pause_ms / clocks.MS_PER_S
            )

    def on_update(self, message: types.Message) -> None:
        """Record a notice that another process has received."""
        if isinstance(message, types.UpstreamNotice):
            self.record(message)

    def current(self) -> list[types.UpstreamNotice]:
        """Return the notices that hold for this node now, pauses last."""
        self.expire()
        held = [
            types.UpstreamNotice(
                key,
                key in self._left_s,
                int(self.pause_left_s(key) * clocks.MS_PER_S),
            )
            for key in dict.fromkeys((*self._left_s, *self._paused_until_s))
        ]
        return held[-MAX_SHARED:]

    def is_leaving(self, key: bytes) -> bool:
        """Return whether an upstream has stated that it leaves."""
        left_s = self._left_s.get(key, -math.inf)
        return self._clock.monotonic() - left_s < self._retention_s

    def pause_left_s(self, key: bytes) -> float:
        """Return how long an upstream wants no more requests, 0 if it does."""
        until_s = self._paused_until_s.get(key, -math.inf)
        return max(0.0, until_s - self._clock.monotonic())

    def accepts(self, key: bytes) -> bool:
        """Return whether an upstream may be sent a request now."""
        return not self.is_leaving(key) and not self.pause_left_s(key)

    def accepting(
        self, candidates: Sequence[_T], key_of: Callable[[_T], bytes]
    ) -> list[_T]:
        """Return the candidates that may be sent a request now.

        Raises:
          UpstreamsPaused: all candidates that do not leave want none yet.
        """
        staying = [c for c in candidates if not self.is_leaving(key_of(c))]
        chosen = [c for c in staying if not self.pause_left_s(key_of(c))]
        if staying and not chosen:
            first_s = min(self.pause_left_s(key_of(c)) for c in staying)
            wait_s = first_s + self._rng.uniform(0, MAX_SPREAD_S)
            raise exceptions.UpstreamsPaused(
                f"all {len(staying)} upstreams have rejected requests",
                math.ceil(wait_s * clocks.MS_PER_S),
            )
        return chosen

    def expire(self) -> None:
        """Forget notices that are over."""
        now_s = self._clock.monotonic()
        for key, left_s in list(self._left_s.items()):
            if now_s - left_s >= self._retention_s:
                del self._left_s[key]
        for key, until_s in list(self._paused_until_s.items()):
            if now_s >= until_s:
                del self._paused_until_s[key]


def parse(leaving: str, retry_after: str) -> Notice:
    """Return the notice in the headers of an answer, empty if it has none."""
    return Notice(leaving.strip() == "1", _parse_seconds(retry_after))


def _parse_seconds(raw: str) -> float | None:
    try:
        seconds = float(raw)
    except ValueError:
        return None
    return seconds if 0 < seconds < math.inf else None
