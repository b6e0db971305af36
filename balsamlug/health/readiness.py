"""Readiness of a group, from observations of its members.

A prober publishes the result as a report; routers place requests only on groups
that are reported ready.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from balsamlug import clock as clocks
from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.messages import types

# Reasons quote text of operators and engines, which may be long.
MAX_REASON_LENGTH = 500


@attrs.frozen
class ReadinessInputs:
    """Inputs of the readiness decision besides the group.

    Attributes:
      observations: instance id -> observation.
      leaving: instances that the platform's list shows as leaving.
      draining: instances that an operator drains -> reason.
    """

    observations: Mapping[str, obs.Observation]
    leaving: frozenset[str] = frozenset()
    draining: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Readiness:
    """Whether a group may serve.

    Attributes:
      definite: whether the decision that it is not ready is based on an
        answer, a refused connection or an announcement, and not only on
        missing answers.
      reason: why the group may not serve, empty when it may.
    """

    ready: bool
    definite: bool = False
    reason: str = ""


READY = Readiness(True)


def evaluate(
    group: tables.Group, inputs: ReadinessInputs, now_s: float
) -> Readiness:
    """Return the readiness of a group; definite problems take precedence."""
    if group.retiring:
        return Readiness(False, True, f"retiring: {group.retiring}")
    problems = [
        problem
        for rank in range(len(group.members))
        if (problem := _member_problem(group, rank, inputs, now_s)) is not None
    ]
    definite = [p for p in problems if p.definite]
    return next(iter(definite or problems), READY)


def report(
    group: tables.Group,
    inputs: ReadinessInputs,
    prober: str,
    head_address: str,
    now_s: float,
) -> types.GroupReport:
    """Return the report of a prober on a group."""
    readiness = evaluate(group, inputs, now_s)
    return types.GroupReport(
        group_id=group.id,
        prober=prober,
        deployment=group.deployment,
        generation=group.generation,
        ready=readiness.ready,
        definite=readiness.definite,
        reason=readiness.reason[:MAX_REASON_LENGTH],
        head_address=head_address,
        load=_load(group, inputs, now_s),
        age_ms=_age_ms(group, inputs, now_s) if readiness.ready else 0,
    )


def _member_problem(
    group: tables.Group, rank: int, inputs: ReadinessInputs, now_s: float
) -> Readiness | None:
    member = group.members[rank]
    departure = _announced_departure(member, inputs)
    if departure:
        return Readiness(False, True, f"{member} {departure}")
    observation = inputs.observations.get(member)
    if observation is None:
        return Readiness(False, False, f"{member} has not been probed")
    failure = observation.problem(now_s)
    if failure is not None:
        definite = failure is not obs.Failure.SILENT
        return Readiness(False, definite, f"{member} {failure}")
    difference = mismatch(group, rank, observation.status)
    if difference:
        return Readiness(False, True, f"{member} {difference}")
    return None


def _announced_departure(member: str, inputs: ReadinessInputs) -> str:
    if member in inputs.draining:
        return f"is drained by an operator: {inputs.draining[member]}"
    if member in inputs.leaving:
        return "is leaving"
    return ""


def mismatch(group: tables.Group, rank: int, status: obs.EngineStatus) -> str:
    """Return how a status differs from a serving member's, empty if equal."""
    for differs, text in _CHECKS:
        if differs(group, rank, status):
            return text.format(status=status)
    return ""


def assigned(group: tables.Group, rank: int, status: obs.EngineStatus) -> bool:
    """Return whether a member has carried out its join order."""
    return not any(
        differs(group, rank, status) for differs, _ in _ASSIGNMENT_CHECKS
    )


_Check = Callable[[tables.Group, int, obs.EngineStatus], bool]


def _incarnation_differs(
    group: tables.Group, rank: int, status: obs.EngineStatus
) -> bool:
    if rank >= len(group.incarnations):
        return False
    return group.incarnations[rank] not in ("", status.incarnation)


# One of these detects the effect of a late order of a former lease holder.
_ASSIGNMENT_CHECKS: tuple[tuple[_Check, str], ...] = (
    (
        lambda g, r, s: (s.group, s.generation) != (g.id, g.generation),
        "reports group {status.group!r} generation {status.generation}",
    ),
    (
        lambda g, r, s: s.rank != r or s.members != g.members,
        "reports another rank or member list",
    ),
    (
        lambda g, r, s: (s.model, s.version) != (g.model, g.version),
        "reports model {status.model!r} version {status.version!r}",
    ),
)
_CHECKS: tuple[tuple[_Check, str], ...] = (
    (
        lambda g, r, s: s.state is obs.EngineState.DRAINING,
        "is draining",
    ),
    (_incarnation_differs, "has restarted as {status.incarnation}"),
    *_ASSIGNMENT_CHECKS,
    (
        lambda g, r, s: s.state is not obs.EngineState.READY,
        "is {status.state}",
    ),
)


def _load(
    group: tables.Group, inputs: ReadinessInputs, now_s: float
) -> list[int]:
    """Return the load that the head reported, and its age in ms."""
    head = inputs.observations.get(group.members[0])
    if head is None or head.status is None:
        return [0, 0, 0, 0, 0]
    age_ms = head.status.load_age_ms + int(
        (now_s - head.sent_at_s) * clocks.MS_PER_S
    )
    return [*attrs.astuple(head.status.load), max(0, age_ms)]


def _age_ms(group: tables.Group, inputs: ReadinessInputs, now_s: float) -> int:
    """Return the age of the oldest observation of a member."""
    oldest_s = min(inputs.observations[m].sent_at_s for m in group.members)
    return max(0, int((now_s - oldest_s) * clocks.MS_PER_S))
