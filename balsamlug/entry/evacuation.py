"""Wiring, log and metric of the evacuation of failure domains."""

import collections
from collections.abc import Callable

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import evacuations
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import evacuation_reader
from balsamlug.controller import watchers
from balsamlug.health import listed as listing
from balsamlug.messages import types
from balsamlug.store import client


@attrs.define
class Monitor:
    """Logs which failure domains get no requests, and why.

    Attributes:
      _set_gauge: called with the number of evacuated failure domains.
      _started_s: when each evacuation took effect here, by failure domain.
      _unknown: evacuated failure domains that have no instance.
      _is_total: whether every failure domain with an instance is evacuated.
    """

    _state: fleet.FleetState
    _exclusion: evacuations.Exclusion
    _clock: clocks.Clock
    _set_gauge: Callable[[int], None]
    _started_s: dict[str, float] = attrs.field(factory=dict)
    _unknown: frozenset[str] = frozenset()
    _retained: frozenset[str] = frozenset()
    _is_total: bool = False

    def on_update(self, message: types.Message) -> None:
        """Log what a change of the set or of the list brings."""
        is_list = isinstance(
            message, types.InstanceUpdate | types.InstanceDelta
        )
        if is_list or isinstance(message, types.EvacuationUpdate):
            self.refresh()

    def refresh(self) -> None:
        """Log which evacuations have begun or ended since the last call."""
        try:
            self._refresh()
        except Exception:  # A defect here must not affect the exclusion.
            eliot.write_traceback()

    def _refresh(self) -> None:
        now_s = self._clock.monotonic()
        held = self._state.evacuations
        current = self._exclusion.current()
        if not (current or self._started_s or self._unknown):
            return
        instances = self._state.instances.values()
        counts = collections.Counter(i.failure_domain for i in instances)
        self._log_ended(current, now_s)
        self._log_started(current, counts, now_s)
        self._log_retained(current & held.retained(now_s))
        if counts:
            self._log_unknown(current - counts.keys(), held.position)
            self._log_total(current >= counts.keys())
        self._set_gauge(len(self._started_s))

    def _log_started(
        self, current: frozenset[str], counts: dict[str, int], now_s: float
    ) -> None:
        for domain in sorted(current & counts.keys() - self._started_s.keys()):
            self._started_s[domain] = now_s
            eliot.log_message(
                "evacuation_started",
                failure_domain=domain,
                position=self._state.evacuations.position,
                instances=counts[domain],
            )

    def _log_ended(self, current: frozenset[str], now_s: float) -> None:
        for domain in sorted(self._started_s.keys() - current):
            eliot.log_message(
                "evacuation_ended",
                failure_domain=domain,
                position=self._state.evacuations.position,
                lasted_s=now_s - self._started_s.pop(domain),
            )

    def _log_retained(self, retained: frozenset[str]) -> None:
        for domain in sorted(retained - self._retained):
            eliot.log_message(
                "evacuation_retained",
                failure_domain=domain,
                position=self._state.evacuations.position,
            )
        self._retained = retained

    def _log_unknown(self, unknown: frozenset[str], position: int) -> None:
        # The instances of a failure domain that is evacuated may leave.
        unknown -= self._started_s.keys()
        for domain in sorted(unknown - self._unknown):
            eliot.log_message(
                "evacuation_unknown_domain",
                failure_domain=domain,
                position=position,
            )
        self._unknown = unknown

    def _log_total(self, is_total: bool) -> None:
        if is_total and not self._is_total:
            eliot.log_message(
                "evacuation_of_all_domains",
                failure_domains=sorted(self._started_s),
            )
        self._is_total = is_total


def exclusion(
    settings: schema.EntrySettings,
    state: fleet.FleetState,
    listed: listing.Listed,
    clock: clocks.Clock,
) -> evacuations.Exclusion:
    """Return the exclusion of a node, which excludes nothing if disabled."""
    if not settings.evacuate_ms:
        return evacuations.Exclusion()
    return evacuations.Exclusion(
        lambda: state.evacuations.current(clock.monotonic()),
        listed.listed_or_retained,
    )


def watch(
    settings: schema.EntrySettings,
    state: fleet.FleetState,
    store: client.ObjectStore,
    clock: clocks.Clock,
    watcher: watchers.Watchers,
) -> None:
    """Read the evacuated failure domains unless that is disabled."""
    if settings.evacuate_ms:
        reader = evacuation_reader.Reader(
            state, store, clock, settings.evacuate_ms
        )
        watcher.watch_evacuations(reader)
