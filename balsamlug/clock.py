"""Time sources, injected into all parts so that tests control the time."""

import time
from typing import Protocol

import attrs

MS_PER_S = 1000


class Clock(Protocol):
    """Source of time for a process."""

    def monotonic(self) -> float:
        """Return a time in seconds that never decreases."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, only for records."""


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
    """Clock that changes only by `advance`, for deterministic tests."""

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
