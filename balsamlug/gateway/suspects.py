"""Quarantine requests that are suspected of crashing groups.

Each node reports the groups that were lost while they ran a request. A request
with too many losses is refused for a time.
"""

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import types

# When a fabric domain fails, a stream that is resumed on another group and then
# retried by its caller can be in flight in two losses without causing them. The
# platform allows a request to crash three groups.
QUARANTINE_CRASHES = 3
# Separates the fingerprint and the lost group in the name of a suspicion.
_SEPARATOR = "@"
# Crash counts for the two states of a suspicion: the request may have caused
# the loss, or it has been served since. The higher count replaces the lower.
_SUSPECTED = 1
_REFUTED = 2


@attrs.define
class Suspects:
    """Losses of groups in which a request was in flight, from all nodes.

    Identical requests that were in flight in one loss count once. If one of
    them has been served since, the request is not the cause.
    """

    _fleet: fleet.FleetState
    _clock: clocks.Clock
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_update)

    def record_crash(
        self, fingerprint: str, group: str, generation: int
    ) -> None:
        """Record that a group was lost with the request, on all nodes."""
        self._publish(fingerprint, f"{group}:{generation}", _SUSPECTED)

    def record_served(self, fingerprint: str) -> None:
        """Clear a suspected request on all nodes after it was served."""
        for loss, since_s in list(self._losses.get(fingerprint, {}).items()):
            if since_s > float("-inf"):
                self._publish(fingerprint, loss, _REFUTED)

    def crashes(self, fingerprint: str) -> int:
        """Return the number of groups lost with a request in flight."""
        return len(self._recent(fingerprint))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any group."""
        return self.crashes(fingerprint) >= QUARANTINE_CRASHES

    def check(self, fingerprint: str) -> None:
        """Check that a request is not quarantined.

        Raises:
          SuspectedRequest: the request was in flight in several losses.
        """
        recent = self._recent(fingerprint)
        if len(recent) < QUARANTINE_CRASHES:
            return
        # The request is allowed again once enough losses have expired.
        release_loss_s = sorted(recent)[-QUARANTINE_CRASHES]
        remaining_s = (
            release_loss_s
            + fleet.SUSPICION_LIFETIME_S
            - self._clock.monotonic()
        )
        raise exceptions.SuspectedRequest(
            "several groups were lost while they ran this request",
            int(remaining_s * clocks.MS_PER_S),
        )

    def _recent(self, fingerprint: str) -> list[float]:
        """Return the times of the losses that have not expired."""
        losses = self._losses.get(fingerprint)
        if losses is None:
            return []
        oldest_s = self._clock.monotonic() - fleet.SUSPICION_LIFETIME_S
        return [since_s for since_s in losses.values() if since_s > oldest_s]

    def _publish(self, fingerprint: str, loss: str, count: int) -> None:
        name = f"{fingerprint}{_SEPARATOR}{loss}"
        update = types.SuspicionUpdate(name, count, 0)
        self._fleet.publish(update, self._clock.monotonic())

    def _on_update(self, message: types.Message) -> None:
        if not isinstance(message, types.SuspicionUpdate):
            return
        fingerprint, _, loss = message.fingerprint.partition(_SEPARATOR)
        now_s = self._clock.monotonic()
        self._drop_old(now_s)
        seen_s = now_s - message.age_ms / clocks.MS_PER_S
        if message.crashes >= _REFUTED:
            seen_s = float("-inf")
        self._losses.setdefault(fingerprint, {})[loss] = seen_s

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - fleet.SUSPICION_LIFETIME_S
        self._losses = {
            fingerprint: losses
            for fingerprint, losses in self._losses.items()
            if any(since_s > oldest_s for since_s in losses.values())
        }
