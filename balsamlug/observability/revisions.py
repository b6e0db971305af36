"""Log what a node does with each configuration that it receives."""

import eliot

from balsamlug import clock as clocks
from balsamlug.messages import types

STORE = "store"


def log_received(
    message: types.ConfigUpdate,
    source: str,
    held: int,
    is_applied: bool,
    took_s: float,
    waited_s: float | None = None,
) -> None:
    """Log one configuration, from the store or from a neighbour.

    Args:
      source: `STORE`, or the id of the neighbour.
      held: revision that was in force before.
      took_s: how long it took to apply, all in one turn of the event loop.
      waited_s: time since the node requested it, None if it did not.
    """
    eliot.log_message(
        "configuration_received",
        revision=message.revision,
        source=source,
        held=held,
        outcome="applied" if is_applied else "ignored",
        took_ms=round(took_s * clocks.MS_PER_S),
        waited_ms=None
        if waited_s is None
        else round(waited_s * clocks.MS_PER_S),
    )
