"""Waiting for a change of state."""

import asyncio
from collections.abc import Callable


class Changed:
    """Wakes all that wait for a change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def until(self, ready: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not ready():
            await self._event.wait()

    async def wait_for(
        self, ready: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until a condition holds; return whether it does."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.until(ready)
        except TimeoutError:
            return ready()
        return True
