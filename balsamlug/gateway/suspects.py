"""Keep requests that seem to crash their group away from the others."""

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import types

# A stream that is resumed, and sent again by its caller, meets two losses when
# a fabric domain goes dark. The platform allows a request to crash three.
QUARANTINE_CRASHES = 3


@attrs.define
class Suspects:
    """Count the groups that were lost with a request in flight."""

    _fleet: fleet.FleetState
    _clock: clocks.Clock

    def crashed(self, fingerprint: str) -> None:
        """Note a loss and tell all nodes."""
        count = self.crashes(fingerprint) + 1
        update = types.SuspicionUpdate(fingerprint, count, 0)
        self._fleet.publish(update, self._clock.monotonic())

    def crashes(self, fingerprint: str) -> int:
        """Return how many groups were lost with a request in flight."""
        known = self._fleet.suspicions.get(fingerprint)
        return known.crashes if known is not None else 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to another group."""
        return self.crashes(fingerprint) >= QUARANTINE_CRASHES

    def check(self, fingerprint: str) -> None:
        """Refuse a request that must not be sent to a group.

        Raises:
          SuspectedRequest: it was in flight in several losses.
        """
        if self.is_quarantined(fingerprint):
            raise exceptions.SuspectedRequest(
                "several groups were lost while they ran this request"
            )
