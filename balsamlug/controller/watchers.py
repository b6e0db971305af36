"""Watch the configuration, domain objects and instances in the object API.

Two nodes of each failure domain watch; the other nodes receive updates from
their peers, which limits the calls to the object API. Others take over when no
watcher has stated a read for some time (`store_reads`). A node without some
state, such as the configuration, reads the object API itself until it has it,
and so does a node that a peer has sent an implausible version.
"""

import asyncio
from collections.abc import Callable
import functools
import random

import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import hashing
from balsamlug import plain
from balsamlug import plausibility
from balsamlug import state as fleet
from balsamlug import store_reads
from balsamlug import supervision
from balsamlug import validation
from balsamlug.config import schema
from balsamlug.controller import availability
from balsamlug.controller import entry_check
from balsamlug.controller import evacuation_reader
from balsamlug.controller import pacing
from balsamlug.controller import published_list
from balsamlug.controller import restored_list
from balsamlug.controller import sources
from balsamlug.messages import types
from balsamlug.observability import revisions
from balsamlug.store import client
from balsamlug.store import objects
from balsamlug.store import protocol

# A node counts as undisturbed 3 s after its connections have gone silent. It
# must then hold what was committed more than 2 s earlier, which is the least
# time that nodes have for a configuration or a change of the list.
CONFIG_WATCH = sources.Wait(timeout_ms=1_000, grace_s=0.5)
LIST_WATCH = sources.Wait(timeout_ms=2_000, grace_s=0.5)
# While expired entries are retained, the list is read again after this time.
EXPIRED_ENTRIES_WATCH_MS = 500
# Changes within this interval are collected in one response: leases are renewed
# every few seconds in every fabric domain.
MIN_INTERVAL_S = 0.5
# How often a node checks whether it has become a watcher.
IDLE_INTERVAL_S = 0.5
CALLS_PER_S = 4.0
CALL_BURST = 8.0
BACKOFF_FIRST_S = 0.25
# Bounds the time from the end of an outage to the next read of a watcher.
BACKOFF_MAXIMUM_S = 3.0
# A response slower than this counts as a failure for the backoff.
SLOW_RESPONSE_S = 1.0
# Entries that expired while the platform was unavailable reappear within 2 s of
# its recovery; the rest is the interval of the watch.
OUTAGE_GRACE_S = 2.5

# A version that is found sooner after another one may not be the last: versions
# are committed faster than this node reads them.
BURST_S = 1.0

DEFAULT_CONFIGURATION = protocol.DefaultWire().configuration


class Watchers:
    """Keep the state of one node in step with the object API.

    Args:
      configuration: returns the configuration that an object holds.
      interval_s: shortest time between two reads of a source.
      domain_interval_s: the same for domain objects, whose changes lease
        holders send to all nodes.
      standby_s: the same for every watcher of a failure domain but the first.
    """

    def __init__(
        self,
        settings: schema.NodeSettings,
        state: fleet.FleetState,
        store: client.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
        configuration: Callable = DEFAULT_CONFIGURATION,
        interval_s: float = MIN_INTERVAL_S,
        domain_interval_s: float = MIN_INTERVAL_S,
        standby_s: float = MIN_INTERVAL_S,
    ) -> None:
        self._settings = settings
        self._state = state
        self._store = store
        self._clock = clock
        self._configuration = configuration
        self._interval_s = interval_s
        self._standby_s = standby_s
        self._availability = availability.Availability(clock)
        self._config_changed_s = float("-inf")
        self._retains_expired = False
        self._check = entry_check.EntryCheck()
        self._ignored: dict[str, tuple[int, int]] = {}
        self._published = published_list.PublishedList()
        self._restored = restored_list.RestoredList(state, clock.monotonic)
        self._rng = rng
        self._reader = store_reads.new_reader(rng)
        self._reads_announced = 0
        self._is_served = False
        self._bucket = self._new_bucket()
        self._tasks: list[asyncio.Task] = []
        self._sources = (
            self._source(
                "config",
                self._fetch_config,
                lambda: state.config_revision > 0,
                CONFIG_WATCH,
                is_single=True,
            ),
            self._source(
                "domain",
                self._fetch_domains,
                lambda: bool(state.domains),
                LIST_WATCH,
                domain_interval_s,
            ),
            self._source(
                "instances",
                self._fetch_instances,
                lambda: state.instances_revision > 0,
                LIST_WATCH,
            ),
        )

    def _new_bucket(self) -> pacing.TokenBucket:
        return pacing.TokenBucket(self._clock, CALLS_PER_S, CALL_BURST)

    def watch_evacuations(self, reader: evacuation_reader.Reader) -> None:
        """Read the evacuated failure domains, too; called before `start`."""
        source = self._source(
            plausibility.EVACUATIONS,
            reader.fetch,
            reader.has_state,
            reader.wait,
        )
        # Its few calls must not delay those of the other sources.
        source.bucket = self._new_bucket()
        # After an outage, a call that hangs and a pause fit into the bound.
        source.backoff.maximum_s = reader.wait.timeout_s
        self._sources = (source, *self._sources)

    def _source(
        self,
        name: str,
        fetch: sources.Fetch,
        has_state: Callable[[], bool],
        wait: sources.Wait,
        interval_s: float | None = None,
        is_single: bool = False,
    ) -> sources.Source:
        backoff = pacing.Backoff(self._rng, BACKOFF_FIRST_S, BACKOFF_MAXIMUM_S)
        return sources.Source(
            name,
            fetch,
            has_state,
            backoff,
            self._bucket,
            wait,
            self._interval_s if interval_s is None else interval_s,
            is_single,
        )

    def start(self) -> None:
        """Start a task for each source, so that no source delays another."""
        self._state.reads.started_s = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(
                supervision.run(
                    f"watch_{source.name}",
                    functools.partial(self._run, source),
                )
            )
            for source in self._sources
        ]

    async def stop(self) -> None:
        """Cancel pending reads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_watcher(self) -> bool:
        """Return whether this node always reads for its failure domain."""
        return not self._tier()

    def _tier(self) -> int:
        return store_reads.tier(self._rank())

    def _rank(self) -> int:
        """Return the rank of this node among those of its failure domain."""
        domain = self._settings.failure_domain
        live = [
            node.id
            for node in self._state.live_nodes()
            if node.failure_domain == domain
        ]
        ranked = hashing.rank(f"watch:{domain}", {*live, self._settings.id})
        return ranked.index(self._settings.id)

    async def _run(self, source: sources.Source) -> None:
        # A read after an unexpected error starts with the complete state.
        source.since = None
        while True:
            if not self._must_read(source) and not self._reads_for_others(
                source
            ):
                # Changes are missed while the node does not watch. A read
                # without a revision returns the complete state.
                source.since = None
                if source.is_single:
                    self._is_served = False
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            await asyncio.sleep(source.bucket.reserve())
            await asyncio.sleep(await self._read(source))

    def _must_read(self, source: sources.Source) -> bool:
        """Return whether peers cannot supply the state of a source."""
        is_unconfirmed = source.name in self._state.unconfirmed
        return is_unconfirmed or not source.has_state()

    def _reads_for_others(self, source: sources.Source) -> bool:
        """Return whether this node reads a source for others."""
        tier = self._tier()
        if not self._state.reads.is_due(tier, self._clock.monotonic()):
            return False
        # A node that the object API may refuse makes one call at a time, for
        # the configuration.
        return not tier or self._is_served or source.is_single

    async def _read(self, source: sources.Source) -> float:
        """Read once and return the seconds to wait before the next read."""
        started_s = self._clock.monotonic()
        wait = source.next_wait
        waited_s = wait.timeout_s if source.since is not None else 0.0
        try:
            source.since = await source.fetch(source.since, wait)
        except exceptions.StoreRateLimited as exc:
            self._availability.record_answer()
            self._record_failure(source, started_s, exc)
            return source.backoff.next_delay(exc.retry_after_ms / 1000)
        except exceptions.StoreHistoryGone as exc:
            self._availability.record_answer()
            self._record_failure(source, started_s, exc)
            source.since = None
            return 0.0
        except (
            exceptions.StoreError,
            exceptions.ProtocolError,
            *exceptions.MALFORMED_VALUE,
        ) as exc:
            self._availability.record_failure()
            is_first = source.failing_since_s is None
            self._record_failure(source, started_s, exc)
            is_cut = isinstance(exc, exceptions.StoreAnswerIncomplete)
            if source.is_single or is_cut:
                # The changes since the last revision may be too many to read.
                source.since = None
            duration_s = self._clock.monotonic() - started_s
            if is_first and 0.0 < waited_s < duration_s:
                # The connection of the watch has probably gone silent.
                return 0.0
            return source.backoff.next_delay()
        self._record_success(source)
        self._announce_read(source)
        if self._clock.monotonic() - started_s > waited_s + SLOW_RESPONSE_S:
            return source.backoff.next_delay()
        source.backoff.reset()
        if not self._rank():
            return source.interval_s
        return max(source.interval_s, self._standby_s)

    def _record_failure(
        self, source: sources.Source, started_s: float, exc: Exception
    ) -> None:
        eliot.log_message(
            "store_read_failed",
            kind=source.name,
            error=type(exc).__name__,
            detail=str(exc),
            since=source.since,
            waited_s=self._clock.monotonic() - started_s,
        )
        self._is_served = False
        if source.failing_since_s is None:
            source.failing_since_s = started_s

    def _record_success(self, source: sources.Source) -> None:
        self._availability.record_answer()
        self._is_served = True
        # A peer whose version is newer than the answer states it again.
        self._state.unconfirmed.discard(source.name)
        if source.failing_since_s is None:
            return
        away_s = self._clock.monotonic() - source.failing_since_s
        source.failing_since_s = None
        eliot.log_message("store_regained", kind=source.name, away_s=away_s)

    def _announce_read(self, source: sources.Source) -> None:
        """Tell all nodes that the object API serves this node."""
        # The configuration is read most often.
        is_failing = any(s.failing_since_s is not None for s in self._sources)
        if not source.is_single or is_failing:
            return
        self._reads_announced += 1
        self._publish(
            types.StoreRead(
                self._reader, self._tier(), self._reads_announced, 0
            )
        )

    async def _fetch_config(
        self, since: int | None, wait: sources.Wait
    ) -> int | None:
        held = self._state.config_revision
        changes = await self._changes("config", since, wait)
        for item in changes.items:
            self._apply(item, self._publish_config)
        # A complete read also returns a version that is not new.
        is_changed = (
            bool(changes.items)
            if since is not None
            else self._state.config_revision > held
        )
        if not is_changed:
            return changes.revision
        now_s = self._clock.monotonic()
        is_burst = now_s - self._config_changed_s < BURST_S
        self._config_changed_s = now_s
        return None if is_burst else changes.revision

    async def _fetch_domains(
        self, since: int | None, wait: sources.Wait
    ) -> int:
        changes = await self._changes("domain", since, wait)
        for item in changes.items:
            self._apply(item, self._publish_domain)
        return changes.revision

    def _apply(
        self,
        item: objects.StoredObject,
        publish: Callable[[objects.StoredObject], None],
    ) -> None:
        """Publish what an object holds; a malformed one is left out."""
        try:
            publish(item)
        except (
            exceptions.ProtocolError,
            *exceptions.MALFORMED_VALUE,
        ) as exc:
            eliot.log_message(
                "store_value_rejected",
                kind=item.kind,
                name=item.name[: validation.MAX_NAME_LENGTH],
                version=item.version,
                error=type(exc).__name__,
                reason=str(exc)[: validation.MAX_NAME_LENGTH],
            )

    def _publish_config(self, item: objects.StoredObject) -> None:
        value = self._configuration(item)
        if value is None:
            return
        message = _config_message(value)
        held, started_s = self._state.config_revision, self._clock.monotonic()
        is_applied = self._state.publish(message, started_s)
        took_s = self._clock.monotonic() - started_s
        revisions.log_received(
            message, revisions.STORE, held, is_applied, took_s
        )

    def _publish_domain(self, item: objects.StoredObject) -> None:
        known = self._state.domains.get(item.name)
        if known is not None:
            self._log_if_older(
                f"domain {item.name}", item.version, known.version
            )
        self._publish(types.DomainUpdate(item.name, item.version, item.value))

    async def _fetch_instances(
        self, since: int | None, wait: sources.Wait
    ) -> int:
        wait_ms = wait.timeout_ms
        if self._retains_expired:
            wait_ms = min(wait_ms, EXPIRED_ENTRIES_WATCH_MS)
        listed = await self._store.instances(since, wait_ms, wait.grace_s)
        self._availability.record_answer()
        self._restored.observe(listed.revision)
        returned_s = max(
            self._availability.returned_s, self._restored.restored_s
        )
        may_return = self._clock.monotonic() - returned_s < OUTAGE_GRACE_S
        usable = self._check.usable(listed, self._published.entries.values())
        # A list read as a whole does not tell when its entries were written.
        written = listed.written if since is not None else frozenset()
        corrected = self._restored.corrected(usable, written)
        is_corrected, usable = corrected != usable, corrected
        retained = self._missing_instances(usable) if may_return else {}
        self._retains_expired = bool(retained) or is_corrected
        # A list without its expired entries gets a higher revision than the
        # list that retains them, so that it replaces that list.
        is_complete = not self._retains_expired
        revision = listed.revision * fleet.LIST_REVISION_STEP + is_complete
        current = published_list.PublishedList(
            revision, usable | retained, listed.written
        )
        self._log_if_older(
            "instances", revision, self._state.instances_revision
        )
        if revision > self._state.instances_revision:
            self._publish(self._list_message(current, since))
        self._published = current
        return listed.revision

    def _list_message(
        self, current: published_list.PublishedList, since: int | None
    ) -> types.InstanceUpdate | types.InstanceDelta:
        """Return the message that brings the local list to a newer one."""
        if since is not None and self._published.is_complete():
            delta = published_list.delta(self._published, current)
            local = self._state.instances_revision
            if current.is_complete() and fleet.is_delta_applicable(
                delta, local
            ):
                return delta
        return types.InstanceUpdate(
            current.revision, list(current.entries.values())
        )

    def _missing_instances(self, usable: dict[str, dict]) -> dict[str, dict]:
        """Return known instances that the list lacks, to be retained."""
        return {
            name: plain.instance_to_dict(item)
            for name, item in self._state.instances.items()
            if name not in usable
        }

    def _log_if_older(self, name: str, read: int, known: int) -> None:
        """Log once that the object API holds an older version than known."""
        if read >= known or self._ignored.get(name) == (read, known):
            return
        self._ignored[name] = read, known
        eliot.log_message(
            "store_version_older", name=name, read=read, known=known
        )

    async def _changes(
        self, kind: str, since: int | None, wait: sources.Wait
    ) -> objects.Changes:
        if since is None:
            return await self._store.list(kind)
        return await self._store.watch(
            kind, since, wait.timeout_ms, wait.grace_s
        )

    def _publish(self, message: types.Message) -> None:
        self._state.publish(message, self._clock.monotonic())


def _config_message(value: dict) -> types.ConfigUpdate:
    """Return the message for a value of `config/current`.

    Raises:
      KeyError, TypeError: the value has no revision.
    """
    return types.ConfigUpdate(value["revision"], value)
