"""Check the entries of the instance list as they are read."""

from collections.abc import Iterable

import attrs
import eliot

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.store import objects


@attrs.define
class EntryCheck:
    """Separates the valid entries of the list from the others.

    Attributes:
      _rejected: entries that were rejected in the last read.
    """

    _rejected: frozenset[str] = frozenset()

    def usable(
        self, listed: objects.InstanceList, known: Iterable[dict]
    ) -> dict[str, dict]:
        """Return the valid entries by id; log each other one once.

        Args:
          known: entries that were valid in the last read and, if they did not
            change, are the same objects.
        """
        checked = {id(raw) for raw in known}
        usable, rejected = {}, dict(listed.rejected)
        for raw in listed.instances:
            reason = "" if id(raw) in checked else _fault(raw)
            if reason:
                # One invalid entry must not hide the rest of the list.
                rejected[_name(raw)] = reason
            else:
                usable[raw["id"]] = raw
        for name in rejected.keys() - self._rejected:
            eliot.log_message(
                "instance_rejected",
                instance=name[: validation.MAX_NAME_LENGTH],
                reason=rejected[name][: validation.MAX_NAME_LENGTH],
            )
        self._rejected = frozenset(rejected)
        return usable


def _fault(raw: object) -> str:
    """Return why an entry is not valid, empty if it is."""
    try:
        validation.check_instance(raw)
    except exceptions.ProtocolError as exc:
        return exc.reason
    return ""


def _name(raw: object) -> str:
    name = raw.get("id") if isinstance(raw, dict) else None
    return name if isinstance(name, str) else ""
