"""Time sources that are injected into every decision."""

import time
from typing import Protocol

import attrs

MS_PER_S = 1000


class Clock(Protocol):
    """Source of time for one process."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records only."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic clock, in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall clock, in milliseconds."""
        return int(time.time() * MS_PER_S)


@attrs.define
class ManualClock:
    """Advance only when told to, for deterministic tests."""

    now_s: float = 0.0
    wall_offset_ms: int = 1_800_000_000_000

    def monotonic(self) -> float:
        """Return the current reading, in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return a wall clock that follows the monotonic reading."""
        return self.wall_offset_ms + int(self.now_s * MS_PER_S)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds
