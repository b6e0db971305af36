"""Requests for permits to run suspected requests.

Every fingerprint and every group has one node that grants its permit. The
router requests permits from it through the controller of the local node.
"""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.messages import types

ASK, RELEASE = "ask", "release"
# The controller answers within 3 s even when the granting node does not.
ANSWER_TIMEOUT_S = 3.5
RETRY_AFTER_MS = 1000

_Key = tuple[str, str]


@attrs.define
class Permits:
    """Permit requests of one router.

    Attributes:
      send: sends a message to the controller.
    """

    send: Callable[[types.Message], None]
    _waiting: dict[_Key, asyncio.Future] = attrs.field(factory=dict)

    async def acquire(self, fingerprint: str, holder: str, retry: bool) -> None:
        """Get the permit for a fingerprint.

        Args:
          holder: unique name of the request that needs the permit.
          retry: repeat a refused request until cancelled.

        Raises:
          Quarantined: another copy holds the permit, or no answer arrived.
        """
        while True:
            grant = await self._request(fingerprint, holder)
            if grant.granted:
                return
            if not retry:
                raise exceptions.Quarantined(
                    "a copy of this suspected request may be running",
                    grant.retry_after_ms,
                )
            await asyncio.sleep(grant.retry_after_ms / clocks.MS_PER_S)

    async def try_acquire(self, key: str, holder: str) -> bool:
        """Request a permit once and return whether it was granted."""
        return (await self._request(key, holder)).granted

    def release(self, fingerprint: str, holder: str) -> None:
        """Release a permit."""
        self.send(types.PermitRequest(fingerprint, holder, RELEASE))

    def handle_grant(self, grant: types.PermitGrant) -> None:
        """Handle an answer; a permit that no request awaits is released."""
        future = self._waiting.get((grant.fingerprint, grant.holder))
        if future is not None and not future.done():
            future.set_result(grant)
        elif grant.granted:
            self.release(grant.fingerprint, grant.holder)

    async def _request(
        self, fingerprint: str, holder: str
    ) -> types.PermitGrant:
        key = fingerprint, holder
        future = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        self.send(types.PermitRequest(fingerprint, holder, ASK))
        try:
            return await asyncio.wait_for(future, ANSWER_TIMEOUT_S)
        except TimeoutError:
            self.release(fingerprint, holder)
            return types.PermitGrant(*key, False, RETRY_AFTER_MS)
        except asyncio.CancelledError:
            self.release(fingerprint, holder)
            raise
        finally:
            del self._waiting[key]
