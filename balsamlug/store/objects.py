"""Objects of the platform's object API, as the client returns them."""

import attrs


@attrs.frozen
class StoredObject:
    """An object at one version."""

    kind: str
    name: str
    version: int
    value: dict


@attrs.frozen
class Changes:
    """What changed in a kind since a revision.

    Attributes:
      items: objects that were written.
      deleted: names of objects that were removed.
      revision: pass this to the next watch.
    """

    items: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    revision: int


@attrs.frozen
class Page:
    """A part of a listing.

    Attributes:
      more: whether objects with later names follow.
    """

    items: tuple[StoredObject, ...]
    more: bool
    revision: int


@attrs.frozen
class InstanceList:
    """The platform's lagging list; instances are plain dicts.

    Attributes:
      rejected: names of entries that could not be read, with the reason.
    """

    instances: tuple[dict, ...]
    revision: int
    rejected: tuple[tuple[str, str], ...] = ()
