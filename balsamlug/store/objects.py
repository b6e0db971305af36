"""Objects and listings that the object API client returns."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TypeVar

import attrs

from balsamlug import exceptions
from balsamlug.store import decoding
from balsamlug.store import positions

_T = TypeVar("_T")


@attrs.frozen
class Answer:
    """Body of an answer of the object API and the era it was given in."""

    body: dict
    era: int

    def position(self, revision: int) -> int:
        """Return the position of a revision in this answer."""
        return positions.position(self.era, revision)


@attrs.frozen
class StoredObject:
    """An object at one version, which is a position of the object API.

    Attributes:
      value: a dict in objects of this project. Another writer may have left any
        JSON value, or one that is `decoding.Unreadable`.
    """

    kind: str
    name: str
    version: int
    value: Any


@attrs.frozen
class Changes:
    """Changes of the objects of a kind since a revision.

    Attributes:
      items: objects that were written.
      deleted: names of objects that were removed.
      revision: starting revision of the next watch.
      unnamed: why further changes have no readable name.
    """

    items: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    revision: int
    unnamed: tuple[str, ...] = ()


@attrs.frozen
class Page:
    """Page of a listing.

    Attributes:
      more: whether further pages follow, with later names.
      unnamed: why further objects have no readable name.
    """

    items: tuple[StoredObject, ...]
    more: bool
    revision: int
    unnamed: tuple[str, ...] = ()


@attrs.frozen
class InstanceList:
    """The platform's list of instances, which lags behind the actual state.

    Attributes:
      instances: one plain dict for each instance.
      rejected: names of entries that could not be parsed, with the reason.
      written: names of entries that were written or removed since the last
        read, also if they are the same again. Not known for every list.
    """

    instances: tuple[dict, ...]
    revision: int
    rejected: tuple[tuple[str, str], ...] = ()
    written: frozenset[str] = frozenset()


def stored(
    kind: str, name: object, version: object, value: object
) -> StoredObject:
    """Return an object whose fields may be of any type.

    Raises:
      ValueError: the name is not a text.
    """
    if not isinstance(name, str) or not name:
        raise ValueError("object without a readable name")
    try:
        return StoredObject(kind, name, revision(version), value)
    except ValueError as exc:
        return StoredObject(kind, name, 0, decoding.Unreadable(str(exc)))


def revision(value: object) -> int:
    """Return a revision of the object API.

    Raises:
      ValueError: the value is not a revision.
    """
    if type(value) is not int or not 0 <= value < 1 << positions.REVISION_BITS:
        raise ValueError("invalid revision")
    return value


def each(
    parse: Callable[[Any], _T], raw: Iterable
) -> tuple[list[_T], tuple[str, ...]]:
    """Return the parsed items, and why the others are malformed."""
    parsed, malformed = [], []
    for item in raw:
        try:
            parsed.append(parse(item))
        except exceptions.MALFORMED_VALUE as exc:
            malformed.append(f"{type(exc).__name__}: {exc}")
    return parsed, tuple(malformed)


def parsed(parse: Callable[..., _T], *args: Any) -> _T:
    """Return what a function makes of an answer.

    Raises:
      StoreOutage: the answer as a whole is malformed.
    """
    try:
        return parse(*args)
    except exceptions.MALFORMED_VALUE as exc:
        raise exceptions.StoreOutage(
            f"answer of the object API is malformed: {type(exc).__name__}"
        ) from exc
