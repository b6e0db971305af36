"""How fast groups really are, from the pauses between events.

One slow member slows its whole group many times over, while its head reports
nothing unusual.
"""

import attrs

from balsamlug import clock as clocks

# Weight of a new pause against those before.
GAIN = 0.2
# A group counts as slow from this factor on. Reading the prompts of others
# makes single passes of a sound group up to half as long again.
SLOW_FACTOR = 1.8
MAX_FACTOR = 30.0
# Without new pauses a group is tried again after this time.
LIFETIME_S = 2.0

# group id and generation
GroupKey = tuple[str, int]


@attrs.frozen
class _Speed:
    factor: float
    measured_s: float


@attrs.define
class Speeds:
    """Measured time of a pass against the expected one, by group."""

    _clock: clocks.Clock
    _speeds: dict[GroupKey, _Speed] = attrs.field(factory=dict)

    def measured(
        self, key: GroupKey, pause_ms: float, expected_ms: float
    ) -> None:
        """Take the pause between two events of one stream."""
        if expected_ms <= 0:
            return
        sample = min(MAX_FACTOR, pause_ms / expected_ms)
        known = self._fresh(key)
        before = known.factor if known is not None else 1.0
        factor = before + GAIN * (sample - before)
        self._speeds[key] = _Speed(factor, self._clock.monotonic())

    def factor(self, key: GroupKey) -> float:
        """Return by how much a group is slower than it should be, or 1."""
        known = self._fresh(key)
        if known is None or known.factor < SLOW_FACTOR:
            return 1.0
        return known.factor

    def _fresh(self, key: GroupKey) -> _Speed | None:
        known = self._speeds.get(key)
        if known is None:
            return None
        if self._clock.monotonic() - known.measured_s > LIFETIME_S:
            del self._speeds[key]
            return None
        return known
