"""Faults of a proxied route."""

import attrs

TO_TARGET = "to_target"
TO_CALLER = "to_caller"
DIRECTIONS = (TO_TARGET, TO_CALLER)


@attrs.define
class RouteFaults:
    """Faults of one route; every fault applies to existing connections too.

    Attributes:
      delay_ms: added to every chunk in both directions; the order is kept.
      drop: hold all bytes of both directions. They arrive after the fault, as
        retransmission by TCP would deliver them.
      half_open: cut the target off without telling the caller. Connections
        made before or during the fault stay silent, and are reset when the
        caller writes after the fault.
      reset: reset all connections, and new ones as soon as they are accepted.
      duplicate: deliver the caller's bytes of new connections on a second
        connection to the target too; its answers are discarded.
      cut: "to_target" or "to_caller" holds the bytes of one direction.
      bytes_per_s: throttle of each direction of a connection, 0 for none.
      lose_answers: next connections whose caller is reset at the first byte
        of the answer, while the target can finish undisturbed.
    """

    delay_ms: float = 0.0
    drop: bool = False
    half_open: bool = False
    reset: bool = False
    duplicate: bool = False
    cut: str = ""
    bytes_per_s: float = 0.0
    lose_answers: int = 0

    def holds(self, direction: str) -> bool:
        """Return whether bytes of a direction are held now."""
        return self.drop or self.cut == direction
