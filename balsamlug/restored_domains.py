"""Content of domain objects that the store holds in an older copy."""

from balsamlug.store import positions

# Part of a domain object that operators change.
_DRAINING_KEY = "draining"


def is_restored(version: int, value: dict) -> bool:
    """Return whether a domain object was written in an earlier era.

    A lease without an era is from a holder that does not record it.
    """
    era = (value.get("lease") or {}).get("era")
    return era is not None and era < positions.era_of(version)


def newest_content(known: dict, restored: dict) -> dict:
    """Return the content to go on with after the store was restored.

    Engines have followed the orders of the known content, even if the store no
    longer has it. Draining marks of operators are kept from both.
    """
    if _content_order(restored) > _content_order(known):
        return restored
    marks = [value.get(_DRAINING_KEY, {}) for value in (restored, known)]
    return known | {_DRAINING_KEY: marks[0] | marks[1]}


def _content_order(value: dict) -> tuple[int, int, int]:
    lease = value.get("lease") or {}
    return (
        lease.get("era") or 0,
        lease.get("epoch", 0),
        lease.get("renewal", 0),
    )
