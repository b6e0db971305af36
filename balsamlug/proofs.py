"""Subjects of requests that attempts have proven sound."""

import collections

import attrs

# Limits the memory for proofs to a few MB.
MAX_PROOFS = 20_000


@attrs.define
class Proofs:
    """Latest proof of each subject, limited in number.

    Subjects that were proven more than once are kept apart from those that were
    proven once, so that prompts of thousands of new parts drop only each other.
    """

    _once: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _repeated: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def __contains__(self, key: str) -> bool:
        return key in self._repeated or key in self._once

    def time(self, key: str) -> float:
        """Return when the last sound attempt began, -inf if there was none."""
        known_s = self._repeated.get(key)
        return (
            self._once.get(key, float("-inf")) if known_s is None else known_s
        )

    def record(self, key: str, began_s: float) -> None:
        """Record a sound attempt that began to be answered at a time."""
        table = self._repeated if key in self else self._once
        latest_s = max(began_s, self.time(key))
        self._once.pop(key, None)
        table[key] = latest_s
        table.move_to_end(key)
        if len(table) > MAX_PROOFS:
            table.popitem(last=False)
