"""Ask home nodes for permits to run suspected fingerprints."""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.messages import types

ASK, RELEASE = "ask", "release"
# The controller answers within 3 s, also when the home node does not.
ANSWER_TIMEOUT_S = 3.5
RETRY_AFTER_MS = 1000

_Key = tuple[str, str]


@attrs.define
class Permits:
    """Permits of one router.

    Attributes:
      send: sends a message to the controller.
    """

    send: Callable[[types.Message], None]
    _waiting: dict[_Key, asyncio.Future] = attrs.field(factory=dict)

    async def acquire(self, fingerprint: str, holder: str, retry: bool) -> None:
        """Get the permit for a fingerprint.

        Args:
          holder: unique name of the request that asks.
          retry: ask again after a refusal, until cancelled.

        Raises:
          Quarantined: another copy has the permit, or nobody answered.
        """
        while True:
            grant = await self._ask(fingerprint, holder)
            if grant.granted:
                return
            if not retry:
                raise exceptions.Quarantined(
                    "a copy of this suspected request may be running",
                    grant.retry_after_ms,
                )
            await asyncio.sleep(grant.retry_after_ms / clocks.MS_PER_S)

    async def try_acquire(self, key: str, holder: str) -> bool:
        """Ask once for a permit and return whether it was given."""
        return (await self._ask(key, holder)).granted

    def release(self, fingerprint: str, holder: str) -> None:
        """Give a permit back."""
        self.send(types.PermitRequest(fingerprint, holder, RELEASE))

    def answer(self, grant: types.PermitGrant) -> None:
        """Take an answer; one that nobody waits for any more is released."""
        fut = self._waiting.get((grant.fingerprint, grant.holder))
        if fut is not None and not fut.done():
            fut.set_result(grant)
        elif grant.granted:
            self.release(grant.fingerprint, grant.holder)

    async def _ask(self, fingerprint: str, holder: str) -> types.PermitGrant:
        key = fingerprint, holder
        fut = asyncio.get_running_loop().create_future()
        self._waiting[key] = fut
        self.send(types.PermitRequest(fingerprint, holder, ASK))
        try:
            return await asyncio.wait_for(fut, ANSWER_TIMEOUT_S)
        except TimeoutError:
            self.release(fingerprint, holder)
            return types.PermitGrant(*key, False, RETRY_AFTER_MS)
        except asyncio.CancelledError:
            self.release(fingerprint, holder)
            raise
        finally:
            del self._waiting[key]
