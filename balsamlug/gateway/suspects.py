"""Keep requests that seem to crash their group away from the others."""

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug.messages import types

# A stream that is resumed, and sent again by its caller, meets two losses when
# a fabric domain goes dark. The platform allows a request to crash three.
QUARANTINE_CRASHES = 3
# Separates fingerprint and loss in the name of a suspicion.
_SEPARATOR = "@"
# Count of a suspicion that a loss was due to the request, and of one that was
# dropped because the request was served since. The higher one replaces it.
_SUSPECTED = 1
_REFUTED = 2


@attrs.define
class Suspects:
    """Losses of groups that each request was in flight in, from all nodes.

    Equal requests that were in flight in one loss count once. One that was
    served since then shows that they are not the cause.
    """

    _fleet: fleet.FleetState
    _clock: clocks.Clock
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_news)

    def crashed(self, fingerprint: str, group: str, generation: int) -> None:
        """Note that a group was lost, and tell all nodes."""
        self._tell(fingerprint, f"{group}:{generation}", _SUSPECTED)

    def served(self, fingerprint: str) -> None:
        """Tell all nodes that the request did no harm, if it is suspected."""
        for loss, since_s in list(self._losses.get(fingerprint, {}).items()):
            if since_s > float("-inf"):
                self._tell(fingerprint, loss, _REFUTED)

    def crashes(self, fingerprint: str) -> int:
        """Return how many groups were lost with a request in flight."""
        return len(self._recent(fingerprint))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to another group."""
        return self.crashes(fingerprint) >= QUARANTINE_CRASHES

    def check(self, fingerprint: str) -> None:
        """Refuse a request that must not be sent to a group.

        Raises:
          SuspectedRequest: it was in flight in several losses.
        """
        recent = self._recent(fingerprint)
        if len(recent) < QUARANTINE_CRASHES:
            return
        # It may be sent again when enough losses have been forgotten.
        decisive_s = sorted(recent)[-QUARANTINE_CRASHES]
        left_s = (
            decisive_s + fleet.SUSPICION_LIFETIME_S - self._clock.monotonic()
        )
        raise exceptions.SuspectedRequest(
            "several groups were lost while they ran this request",
            int(left_s * clocks.MS_PER_S),
        )

    def _recent(self, fingerprint: str) -> list[float]:
        """Return the times of the losses that count."""
        losses = self._losses.get(fingerprint)
        if losses is None:
            return []
        oldest_s = self._clock.monotonic() - fleet.SUSPICION_LIFETIME_S
        return [since_s for since_s in losses.values() if since_s > oldest_s]

    def _tell(self, fingerprint: str, loss: str, count: int) -> None:
        name = f"{fingerprint}{_SEPARATOR}{loss}"
        update = types.SuspicionUpdate(name, count, 0)
        self._fleet.publish(update, self._clock.monotonic())

    def _on_news(self, message: types.Message) -> None:
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
