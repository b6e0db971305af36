"""Waiting for changes of state in asyncio."""

import asyncio
from collections.abc import Callable


class ChangeSignal:
    """Notifies all waiting coroutines of a change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all coroutines that are waiting."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait_until(self, ready: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not ready():
            await self._event.wait()

    async def wait_for(
        self, ready: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for a condition or the time-out; return whether it holds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_until(ready)
        except TimeoutError:
            return ready()
        return True
