"""Check that a plain value can be encoded wherever it may be sent.

Values are passed on to peers in msgpack, to the object API and to engines in
JSON, and to the log. A value that cannot be encoded is rejected where it is
read, since later it would fail together with all that is sent with it.
"""

import math

# Far above that of any value of this project, and below the limits of msgpack
# and of functions that walk a value recursively.
MAX_DEPTH = 32
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1


def check(value: object) -> None:
    """Check a value and all that it contains.

    Raises:
      ValueError: it cannot be encoded, with the reason.
    """
    level, depth = [value], 0
    while level:
        if depth > MAX_DEPTH:
            raise ValueError(f"nested deeper than {MAX_DEPTH} levels")
        below: list[object] = []
        for item in level:
            if isinstance(item, dict):
                below += item
                below += item.values()
            elif isinstance(item, list | tuple):
                below += item
            elif type(item) is not str or not item.isascii():
                _check_scalar(item)
        level, depth = below, depth + 1


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header."""
    return text.isascii() and text.isprintable() and text == text.strip()


def _check_scalar(item: object) -> None:
    if isinstance(item, str):
        if not item.isascii():
            item.encode()
    elif isinstance(item, int):
        if not MIN_INTEGER <= item <= MAX_INTEGER:
            raise ValueError("integer beyond 64 bits")
    elif isinstance(item, float):
        if not math.isfinite(item):
            raise ValueError("number is not finite")
    elif item is not None:
        raise ValueError(f"value of type {type(item).__name__}")
