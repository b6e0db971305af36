"""Faults of a proxied route."""

import attrs

TO_TARGET = "to_target"
TO_CALLER = "to_caller"
DIRECTIONS = (TO_TARGET, TO_CALLER)


@attrs.define
class RouteFaults:
    """Faults of one route; they also apply to existing connections.

    Attributes:
      delay_ms: delay of each chunk in both directions; the order is preserved.
      drop: hold all bytes in both directions. They arrive after the fault, as
        TCP retransmission would deliver them.
      half_open: reset the target's side without notifying the caller.
        Connections opened before or during the fault stay idle and are reset
        when the caller writes after the fault.
      reset: reset all connections, and new ones as soon as they are accepted.
      duplicate: send the caller's bytes of new connections on a second
        connection to the target as well, whose response is discarded.
      cut: "to_target" or "to_caller" holds the bytes of that direction.
      bytes_per_s: rate limit of each direction of a connection, 0 for none.
      lose_answers: number of next connections whose caller is reset at the
        first byte of the response, while the target's side stays open, so
        that the target can finish.
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
        """Return whether bytes of a direction are held."""
        return self.drop or self.cut == direction
