"""Decode optional figures whose errors must not affect the rest of a value."""

import math
from typing import Any

import eliot


def is_sound(raw: Any, maximum: float) -> bool:
    """Return whether a value is a number from 0 to a maximum."""
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    # Integers may be too large for a float; comparisons are exact.
    return is_number and 0 <= raw <= maximum and math.isfinite(raw)


def bounded(raw: Any, maximum: float, field: str, name: str) -> float:
    """Return a figure, 0 if it is absent or malformed.

    Args:
      maximum: a larger figure is taken for an error.
      field, name: field and object that contain it, for the log.
    """
    if raw is None:
        return 0.0
    if is_sound(raw, maximum):
        return float(raw)
    eliot.log_message(
        "figure_ignored", field=field, object=name, value=f"{raw!r:.50}"
    )
    return 0.0
