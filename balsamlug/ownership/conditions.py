"""Derive the condition of each instance of a fabric domain.

The planner uses conditions to decide which members are replaced and which
spares are usable.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.ownership import reasons

# An instance that does not answer for this time is replaced. Shorter
# interruptions usually end sooner than a load of weights into a spare.
REPLACE_AFTER_S = 3.0

Reason = reasons.Reason


@attrs.frozen
class ConditionInputs:
    """Inputs of the conditions of a domain.

    Attributes:
      listed: instances in the platform's list.
      draining: instances that an operator drains, with the reason.
      observations: probe results of the domain's holder.
      probing_since_s: when the holder first requested probes of each
        instance.
      cold: instances that accept few requests for now.
      foreign: instances of other services than the one that is planned.
    """

    listed: Mapping[str, tables.Instance]
    draining: Mapping[str, str]
    observations: Mapping[str, obs.Observation]
    probing_since_s: Mapping[str, float]
    cold: frozenset[str] = frozenset()
    foreign: frozenset[str] = frozenset()


def conditions(
    instances: Iterable[str], inputs: ConditionInputs, now_s: float
) -> dict[str, reasons.Condition]:
    """Return the condition of each instance."""
    return {i: _instance_condition(i, inputs, now_s) for i in instances}


def _instance_condition(
    instance: str, inputs: ConditionInputs, now_s: float
) -> reasons.Condition:
    observation = inputs.observations.get(instance)
    reason = _reason(instance, observation, inputs, now_s)
    status = observation.status if observation is not None else None
    if status is None:
        return reasons.Condition(instance, reason)
    return reasons.Condition(
        instance,
        reason,
        status.incarnation,
        _held_weights(status),
        status.staged,
        status.hidden,
        instance in inputs.cold,
    )


def _reason(
    instance: str,
    observation: obs.Observation | None,
    inputs: ConditionInputs,
    now_s: float,
) -> Reason | None:
    if instance in inputs.foreign:
        return Reason.OTHER_SERVICE
    since_s = inputs.probing_since_s.get(instance, now_s)
    unresponsive = _unresponsive_reason(observation, since_s, now_s)
    if unresponsive is Reason.MISSING:
        unlisted = observation is None and instance not in inputs.listed
        return Reason.NOT_LISTED if unlisted else Reason.MISSING
    return _drain_reason(instance, observation, inputs) or unresponsive


def _unresponsive_reason(
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


def _drain_reason(
    instance: str, observation: obs.Observation | None, inputs: ConditionInputs
) -> Reason | None:
    listed = inputs.listed.get(instance)
    status = observation.status if observation is not None else None
    if instance in inputs.draining:
        return Reason.OPERATOR_DRAINING
    if listed is not None and listed.state is tables.InstanceState.LEAVING:
        return Reason.LEAVING
    if status is not None and status.state is obs.EngineState.DRAINING:
        return Reason.ENGINE_DRAINING
    return None


def _held_weights(status: obs.EngineStatus) -> tuple[str, str, int, int] | None:
    """Return the part of a model that an engine holds.

    An engine that is still loading the part counts as holding it, because a
    new join for the same part continues the load.
    """
    if not status.model or not status.members:
        return None
    return status.model, status.version, status.rank, len(status.members)
