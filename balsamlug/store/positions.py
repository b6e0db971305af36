"""Positions: revisions that keep their order when the store is restored.

An object API that returns from an older copy gives out revisions again. It
states in every answer its era, a number that rises with each such return. A
position is the era and a revision in one integer, so that anything read after a
return orders after everything read before it.
"""

REVISION_BITS = 40
# A position has 63 bits, so that the revision of a published list, which is up
# to twice a position and one, has 64.
MAX_ERA = 2**23 - 1
POSITION_LIMIT = 2**63 - 1
LIST_REVISION_LIMIT = 2**64 - 1


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) + revision


def era_of(value: int) -> int:
    """Return the era of a position."""
    return value >> REVISION_BITS


def revision_of(value: int) -> int:
    """Return the revision of a position, as the object API counts it."""
    return value & ((1 << REVISION_BITS) - 1)


def parse_era(text: str | None) -> int | None:
    """Return the era that a header states, None if it is absent or invalid."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None
