"""Groups that requests may be sent to, cached between changes."""

from collections.abc import Sequence

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.gateway import engine_model
from balsamlug.gateway import loads
from balsamlug.gateway import placement
from balsamlug.gateway import speeds
from balsamlug.health import listed as listing
from balsamlug.ownership import groups as group_table

# Suspicions and reports expire without a message.
CACHE_S = 0.2
# A group that broke an attempt takes no new one for this time; a member that
# is really lost is known by then.
FAULT_HOLD_S = 1.0


@attrs.define
class GroupTable:
    """Whole groups by model, from the stored assignments and the list.

    Attributes:
      speeds: how fast the groups were seen to be.
    """

    _fleet: fleet.FleetState
    _listed: listing.Listed
    _clock: clocks.Clock
    _loads: loads.Loads
    speeds: speeds.Speeds
    _groups: group_table.Cache = attrs.field(init=False)
    _whole: dict[str, list[tables.Group]] = attrs.field(factory=dict)
    _valid_until_s: float = float("-inf")
    _faults: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._groups = group_table.Cache(self._fleet)

    def invalidate(self) -> None:
        """Look at every group again before the next choice."""
        self._valid_until_s = float("-inf")

    def fault(self, group: str, generation: int) -> None:
        """Keep new requests away from a group for a moment."""
        self._faults[group, generation] = self._clock.monotonic()

    def status(self, group_id: str, now_s: float) -> tables.GroupStatus:
        """Return the readiness of a group as the list announces it."""
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

    def candidates(
        self, model: str, exclude: frozenset[str]
    ) -> list[placement.Candidate]:
        """Return the groups that may run a request now."""
        now_s = self._clock.monotonic()
        if now_s >= self._valid_until_s:
            self._refresh(now_s)
        found = [
            self._candidate(group, now_s)
            for group in self._whole.get(model, ())
            if group.id not in exclude and not self._is_faulty(group, now_s)
        ]
        return [candidate for candidate in found if candidate is not None]

    def unseen(self, candidates: Sequence[placement.Candidate]) -> float:
        """Return the requests that others placed and have not told yet."""
        nodes = len(self._fleet.live_nodes())
        if not candidates or nodes < 2:
            return 0.0
        placed = sum(
            candidate.present / candidate.model.request_ms()
            for candidate in candidates
        )
        told_ms = loads.interval_s(nodes) * clocks.MS_PER_S
        return placed * told_ms * (nodes - 1) / nodes

    def usual_pass_ms(self, candidate: placement.Candidate) -> float:
        """Return the time of a pass of a sound group at its present load."""
        group = self.group(candidate.group)
        model = self._model(group.model) if group is not None else None
        if model is None:
            return 0.0
        now_s = self._clock.monotonic()
        return model.pass_ms(self._loads.total(candidate.group, now_s))

    def _refresh(self, now_s: float) -> None:
        self._valid_until_s = now_s + CACHE_S
        self._whole = {}
        for _, group in self._groups.all():
            if self._listed.is_complete(group):
                self._whole.setdefault(group.model, []).append(group)

    def _is_faulty(self, group: tables.Group, now_s: float) -> bool:
        since_s = self._faults.get((group.id, group.generation))
        return since_s is not None and now_s - since_s < FAULT_HOLD_S

    def _candidate(
        self, group: tables.Group, now_s: float
    ) -> placement.Candidate | None:
        head = self._fleet.instances.get(group.members[0])
        model = self._model(group.model)
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
            self._loads.total(loads.waiting(group.id), now_s),
        )

    def _model(self, name: str) -> engine_model.EngineModel | None:
        found = self._fleet.catalogue.models.get(name)
        if found is None:
            return None
        engine, model = found
        return engine_model.EngineModel(engine, model.pace)
