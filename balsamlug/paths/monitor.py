"""Whether this node can open direct connections to upstreams.

A connection that fails shows a fault of the upstream or of this node's own
path. Connections to other upstreams at the same time tell which.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.router import upstream

# One address may be cut off from this node alone.
MIN_FAILED_ADDRESSES = 2
# While the path is lost, direct connections are tried at this interval.
TEST_INTERVAL_S = 0.5
# Without other upstreams to compare with, the path counts as up for this time
# after a direct connection has opened.
CONFIDENCE_S = 1.0
# Connections within a region open in milliseconds.
COMPARISON_TIMEOUT_S = 0.1
# Minimum time between the starts of two comparisons.
COMPARISON_INTERVAL_S = 0.2
# The path is up if more than this share of a comparison opens.
MIN_OPENED_SHARE = 1 / 3


@attrs.define
class PathMonitor:
    """Outcomes of direct connections.

    Attributes:
      clock: clock of all times.
      on_lost: called when the loss of the path becomes known.
      references: returns the addresses of a few other upstreams that do not
        fail together with the one at an address.
      lost_s: when the loss of the path became known, None while it is up.
      _failed: addresses that failed since the last connection that opened, and
        that another node reached.
    """

    clock: clocks.Clock
    on_lost: Callable[[], None] = lambda: None
    references: Callable[[str], Sequence[str]] = lambda address: ()
    lost_s: float | None = None
    _failed: set[str] = attrs.field(factory=set)
    _opened_s: float = float("-inf")
    _next_test_s: float = float("-inf")
    _test: asyncio.Task | None = None
    _comparison: asyncio.Task | None = None
    _compared_s: float = float("-inf")

    def record_opened(self) -> None:
        """Record that a direct connection opened."""
        self._opened_s = self.clock.monotonic()
        self._failed.clear()

    def record_failed(self, address: str) -> None:
        """Record a direct connection that only this node failed to open."""
        self._failed.add(address)
        if len(self._failed) >= MIN_FAILED_ADDRESSES:
            self._record_lost(sorted(self._failed))

    def was_lost_since(self, time_s: float) -> bool:
        """Return whether the loss became known at or after a time."""
        return self.lost_s is not None and time_s <= self.lost_s

    async def is_up(self, address: str, since_s: float) -> bool:
        """Return whether the path is up, after a direct connection failed.

        Connections to other upstreams are opened to find out. What was found
        out before the failed attempt began says nothing about it.

        Args:
          since_s: monotonic time at which the failed attempt began.
        """
        while self.lost_s is None and self._compared_s < since_s:
            now_s = self.clock.monotonic()
            wait_s = self._compared_s + COMPARISON_INTERVAL_S - now_s
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            self._compared_s = now_s
            self._comparison = asyncio.create_task(self._compare(address))
        if self.lost_s is not None:
            return False
        return await asyncio.shield(self._comparison)

    def test(self, address: str) -> None:
        """Test in the background whether a lost path is up again, if due."""
        now_s = self.clock.monotonic()
        if self.lost_s is None or now_s < self._next_test_s:
            return
        self._next_test_s = now_s + TEST_INTERVAL_S
        self._test = asyncio.create_task(self._run_test(address))

    async def _run_test(self, address: str) -> None:
        addresses = list(self.references(address)) or [address]
        # A path to some upstreams only would be lost again at once.
        if all(await _open_all(addresses)):
            self._record_regained()

    async def _compare(self, address: str) -> bool:
        addresses = list(self.references(address))
        if not addresses:
            since_s = self.clock.monotonic() - self._opened_s
            return since_s < CONFIDENCE_S
        opened = await _open_all(addresses)
        is_up = sum(opened) > MIN_OPENED_SHARE * len(opened)
        eliot.log_message(
            "path_compared",
            address=address,
            others=dict(zip(addresses, opened, strict=True)),
            is_up=is_up,
        )
        if is_up:
            self._opened_s = self.clock.monotonic()
        else:
            self._record_lost([address, *addresses])
        return is_up

    def _record_lost(self, addresses: Sequence[str]) -> None:
        if self.lost_s is None:
            self.lost_s = self.clock.monotonic()
            eliot.log_message("path_lost", addresses=addresses)
            self.on_lost()

    def _record_regained(self) -> None:
        if self.lost_s is None:
            return
        self.record_opened()
        eliot.log_message(
            "path_regained", lost_for_s=self._opened_s - self.lost_s
        )
        self.lost_s = None


async def _open_all(addresses: Sequence[str]) -> list[bool]:
    return await asyncio.gather(*(_opens(address) for address in addresses))


async def _opens(address: str) -> bool:
    try:
        conn = await upstream.connect(address, timeout_s=COMPARISON_TIMEOUT_S)
    except exceptions.UpstreamUnreachable:
        return False
    conn.transport.abort()
    return True
