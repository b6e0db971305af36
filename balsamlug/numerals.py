"""Decode decimal numbers that others send, of any length."""

# Larger numbers, which no time or count needs, are taken for this one. They
# would overflow a float, and `int` refuses more than 4,300 digits.
MAX_NUMBER = 10**18
_MAX_DIGITS = len(str(MAX_NUMBER)) - 1


def parse(raw: str) -> int | None:
    """Return a number of at most `MAX_NUMBER`, None if it is not decimal."""
    if not (raw.isascii() and raw.isdigit()):
        return None
    digits = raw.lstrip("0")
    if len(digits) > _MAX_DIGITS:
        return MAX_NUMBER
    return int(digits or "0")
