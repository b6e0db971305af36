"""Conditions of the instances of a fabric domain, from observations."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.ownership import reasons

# An instance that is missing for this time is replaced. Shorter interruptions
# end by themselves more often than a load of weights takes.
REPLACE_AFTER_S = 3.0

Reason = reasons.Reason


@attrs.frozen
class Facts:
    """What conditions depend on.

    Attributes:
      listed: instances of the platform's list.
      draining: instances an operator drains.
      observations: of the probes of the domain's holder.
      considered_since_s: when the holder first asked for each instance.
    """

    listed: Mapping[str, tables.Instance]
    draining: Mapping[str, str]
    observations: Mapping[str, obs.Observation]
    considered_since_s: Mapping[str, float]


def conditions(
    instances: Iterable[str], facts: Facts, now_s: float
) -> dict[str, reasons.Condition]:
    """Return the condition of each instance."""
    return {i: _condition(i, facts, now_s) for i in instances}


def _condition(instance: str, facts: Facts, now_s: float) -> reasons.Condition:
    observation = facts.observations.get(instance)
    reason = _reason(instance, observation, facts, now_s)
    status = observation.status if observation is not None else None
    if status is None:
        return reasons.Condition(instance, reason)
    return reasons.Condition(
        instance,
        reason,
        status.incarnation,
        _weights(status),
        status.staged,
        status.hidden,
    )


def _reason(
    instance: str,
    observation: obs.Observation | None,
    facts: Facts,
    now_s: float,
) -> Reason | None:
    since_s = facts.considered_since_s.get(instance, now_s)
    missing = _missing(observation, since_s, now_s)
    if missing is Reason.MISSING:
        unlisted = observation is None and instance not in facts.listed
        return Reason.NOT_LISTED if unlisted else Reason.MISSING
    return _drain(instance, observation, facts) or missing


def _missing(
    observation: obs.Observation | None, since_s: float, now_s: float
) -> Reason | None:
    if observation is None:
        expired = now_s - since_s >= REPLACE_AFTER_S
        return Reason.MISSING if expired else Reason.UNOBSERVED
    if observation.failure is None:
        return None
    if now_s - observation.failing_since_s >= REPLACE_AFTER_S:
        return Reason.MISSING
    return Reason.SILENT


def _drain(
    instance: str, observation: obs.Observation | None, facts: Facts
) -> Reason | None:
    listed = facts.listed.get(instance)
    status = observation.status if observation is not None else None
    if instance in facts.draining:
        return Reason.OPERATOR_DRAINING
    if listed is not None and listed.state is tables.InstanceState.LEAVING:
        return Reason.LEAVING
    if status is not None and status.state is obs.EngineState.DRAINING:
        return Reason.ENGINE_DRAINING
    return None


def _weights(status: obs.EngineStatus) -> tuple[str, str, int, int] | None:
    """Return the part of a model that an engine holds.

    An engine that is still loading counts as holding it: a new join for the
    same part continues the load.
    """
    if not status.model or not status.members:
        return None
    return status.model, status.version, status.rank, len(status.members)
