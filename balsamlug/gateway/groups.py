"""Table of the groups that requests may be sent to.

It is cached until a change is received or the cache expires.
"""

from collections.abc import Sequence

import attrs

from balsamlug import clock as clocks
from balsamlug import evacuations
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import engine_model
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.gateway import speeds
from balsamlug.health import listed as listing
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import services as service_table

# Suspicions and reports expire without a message that would invalidate the
# cache.
CACHE_LIFETIME_S = 0.2
# A group in which an attempt failed gets no new request for this time. A member
# that is really lost is detected within it.
FAILURE_COOLDOWN_S = 1.0


@attrs.define
class GroupTable:
    """Complete groups by model, from stored assignments and announcements.

    A group belongs to the service of its head.

    Attributes:
      speeds: measured slowdown of the groups.
      exclusion: decides which groups get no requests for now.
    """

    _fleet: fleet.FleetState
    _listed: listing.Listed
    _clock: clocks.Clock
    _loads: loads.Loads
    speeds: speeds.Speeds
    exclusion: evacuations.Exclusion = attrs.field(
        factory=evacuations.Exclusion
    )
    _groups: group_table.Cache = attrs.field(init=False)
    _services: service_table.Services = attrs.field(init=False)
    _complete: dict[tuple[str, str], list[tables.Group]] = attrs.field(
        factory=dict
    )
    _valid_until_s: float = float("-inf")
    _failures: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._groups = group_table.Cache(self._fleet)
        self._services = service_table.Services(self._fleet)

    def invalidate(self) -> None:
        """Discard the cache, so that the next choice reloads all groups."""
        self._valid_until_s = float("-inf")

    def record_failure(self, group: str, generation: int) -> None:
        """Exclude a group from new requests until its cooldown is over."""
        self._failures[group, generation] = self._clock.monotonic()

    def forget_failures(self) -> None:
        """End all cooldowns, as after failures of this node's own path."""
        self._failures.clear()

    def status(self, group_id: str, now_s: float) -> tables.GroupStatus:
        """Return the readiness of a group as observed by this node."""
        group = self.group(group_id)
        if group is None:
            raise exceptions.NoReadyGroup(f"no group {group_id}")
        ready = self._listed.is_complete(group)
        head = self._listed.current(group.members[0])
        return tables.GroupStatus(
            group_id=group.id,
            deployment=group.deployment,
            generation=group.generation,
            ready=ready,
            reason="" if ready else "not whole",
            head_address=head.address if head is not None else "",
            load=tables.LoadReport(),
            observed_at_s=now_s,
        )

    def group(self, group_id: str) -> tables.Group | None:
        """Return a group by its id."""
        return self._groups.find(group_id)

    def is_retiring(self, group_id: str) -> bool:
        """Return whether a group is dissolved once its requests have ended."""
        group = self.group(group_id)
        return group is not None and bool(group.retiring)

    def candidates(
        self, service: str, model: str, exclude: frozenset[str]
    ) -> list[placement.Candidate]:
        """Return the groups of a service that can take a request now."""
        now_s = self._clock.monotonic()
        if now_s >= self._valid_until_s:
            self._refresh(now_s)
        candidates = [
            self._candidate(group, now_s)
            for group in self._complete.get((service, model), ())
            if group.id not in exclude
            and not self._has_recent_failure(group, now_s)
        ]
        return [candidate for candidate in candidates if candidate is not None]

    def complete(self) -> list[tuple[str, int]]:
        """Return id and generation of all complete groups."""
        now_s = self._clock.monotonic()
        if now_s >= self._valid_until_s:
            self._refresh(now_s)
        return [
            (group.id, group.generation)
            for of_model in self._complete.values()
            for group in of_model
        ]

    def may_send(self, candidate: placement.Candidate) -> bool:
        """Return whether a chosen group may still be sent to.

        Its assignment or members may have changed since it was chosen.
        """
        group = self.group(candidate.group)
        return (
            group is not None
            and group.generation == candidate.generation
            and self._may_receive(group)
        )

    def unreported_requests(
        self, candidates: Sequence[placement.Candidate]
    ) -> float:
        """Estimate the requests that other nodes have not reported yet."""
        nodes = len(self._fleet.live_nodes())
        if not candidates or nodes < 2:
            return 0.0
        placed = sum(
            candidate.in_flight / candidate.model.request_ms()
            for candidate in candidates
        )
        interval_ms = loads.report_interval_s(nodes) * clocks.MS_PER_S
        return placed * interval_ms * (nodes - 1) / nodes

    def expected_pass_ms(self, candidate: placement.Candidate) -> float:
        """Return the pass time of a healthy group at the current load."""
        group = self.group(candidate.group)
        model = self._model(group) if group is not None else None
        if model is None:
            return 0.0
        now_s = self._clock.monotonic()
        return model.pass_ms(self._loads.total(candidate.group, now_s))

    def _refresh(self, now_s: float) -> None:
        self._valid_until_s = now_s + CACHE_LIFETIME_S
        self._complete = {}
        for _, group in self._groups.all():
            if self._may_receive(group):
                key = self._service(group), group.model
                self._complete.setdefault(key, []).append(group)

    def _may_receive(self, group: tables.Group) -> bool:
        is_complete = self._listed.is_complete(group)
        is_usable = is_complete and not self._services.is_mixed(group)
        return is_usable and not self.exclusion.excludes_group(group)

    def _service(self, group: tables.Group) -> str:
        head = self._fleet.instances.get(group.members[0])
        return head.service if head is not None else ""

    def _has_recent_failure(self, group: tables.Group, now_s: float) -> bool:
        since_s = self._failures.get((group.id, group.generation))
        return since_s is not None and now_s - since_s < FAILURE_COOLDOWN_S

    def _candidate(
        self, group: tables.Group, now_s: float
    ) -> placement.Candidate | None:
        head = self._fleet.instances.get(group.members[0])
        model = self._model(group)
        if head is None or model is None:
            return None
        factor = self.speeds.factor((group.id, group.generation))
        model = attrs.evolve(model, pace=model.pace * factor)
        return placement.Candidate(
            group.id,
            group.generation,
            head.id,
            head.address,
            model,
            self._loads.total(group.id, now_s),
            self._loads.total(loads.waiting_key(group.id), now_s),
            limit_table.instance_key(head),
        )

    def _model(self, group: tables.Group) -> engine_model.EngineModel | None:
        service = self._service(group)
        entry = self._fleet.catalogue.model(service, group.model)
        if entry is None:
            return None
        engine, model = entry
        return engine_model.EngineModel(engine, model.pace)
