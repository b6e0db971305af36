"""Entries of the instance list that are older than what a node knew.

A list that was restored from a copy shows instances as they were some seconds
before, and instances that have left since. Their entries are used again once
they are written again, or when the store would have removed them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

import attrs
import eliot

from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.store import positions

# The platform removes an entry that was not written for three heartbeats of
# 1.2 s; the rest is the interval of the watch.
MAX_ENTRY_AGE_S = 4.0
# How long a removed instance is known. No copy is expected to be older.
REMOVAL_RETENTION_S = 60.0
MAX_REMOVALS = 4_096

Entries = dict[str, dict]


@attrs.define
class _Removal:
    incarnation: str
    removed_s: float


@attrs.define
class RestoredList:
    """Correct a restored list by what was known before.

    Attributes:
      now_s: reads the monotonic clock.
      restored_s: when this node observed the last return of the store.
      _era: of the last list, None before the first.
      _known: entries before the store was restored that were not written since.
      _removals: instances that the list has dropped lately, by id.
    """

    state: fleet.FleetState
    now_s: Callable[[], float]
    restored_s: float = float("-inf")
    _era: int | None = None
    _known: Entries = attrs.field(factory=dict)
    _removals: dict[str, _Removal] = attrs.field(factory=dict)
    _left: frozenset[tuple[str, str]] = frozenset()
    _previous: dict[str, tables.Instance] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Follow the changes of the list from any origin."""
        self.state.subscribe(self._on_update)

    def observe(self, position: int) -> None:
        """Record the position of a list that was read or received."""
        era = positions.era_of(position)
        former = self._era
        if former is not None and era <= former:
            return
        self._era = era
        if former is None:
            return
        self._known = {
            name: plain.instance_to_dict(item)
            for name, item in self._previous.items()
        }
        self._left = frozenset(
            (name, item.incarnation) for name, item in self._removals.items()
        )
        self.restored_s = self.now_s()
        eliot.log_message(
            "list_restored",
            era=era,
            former=former,
            known=len(self._known),
            left=len(self._left),
        )

    def corrected(self, listed: Entries, written: Collection[str]) -> Entries:
        """Return a list in which no entry is older than the known one.

        Args:
          written: entries that were certainly written after the return.
        """
        if self.now_s() - self.restored_s >= MAX_ENTRY_AGE_S:
            self._known, self._left = {}, frozenset()
            return listed
        for name in written:
            self._known.pop(name, None)
        self._left = frozenset(
            item for item in self._left if item[0] not in written
        )
        return {
            name: _newest(self._known.get(name), raw)
            for name, raw in listed.items()
            if (name, raw["incarnation"]) not in self._left
        }

    def _on_update(self, message: types.Message) -> None:
        if not isinstance(message, types.InstanceUpdate | types.InstanceDelta):
            return
        self.observe(message.revision // fleet.LIST_REVISION_STEP)
        previous, self._previous = self._previous, self.state.instances
        removed: Collection[str] = (
            message.removed
            if isinstance(message, types.InstanceDelta)
            else previous.keys() - self._previous.keys()
        )
        now_s = self.now_s()
        for name in removed:
            item = previous.get(name)
            if item is not None:
                self._removals.pop(name, None)
                self._removals[name] = _Removal(item.incarnation, now_s)
        self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - REMOVAL_RETENTION_S
        for name in list(self._removals):
            is_old = self._removals[name].removed_s < oldest_s
            if not is_old and len(self._removals) <= MAX_REMOVALS:
                return
            del self._removals[name]


def _newest(known: Mapping | None, listed: dict) -> dict:
    """Return the newer one of two entries of an instance."""
    if known is None or _start(known) < _start(listed):
        return listed
    if _start(known) > _start(listed) or _orders(known) > _orders(listed):
        return dict(known)
    # An instance that leaves does not come back in the same incarnation.
    is_leaving = known["state"] == tables.InstanceState.LEAVING
    return listed | {"state": known["state"]} if is_leaving else listed


def _start(entry: Mapping) -> tuple[int, str]:
    return tables.incarnation_key(str(entry["incarnation"]))


def _orders(entry: Mapping) -> int:
    announcement = entry.get("announcement") or {}
    return announcement.get("orders", 0)
