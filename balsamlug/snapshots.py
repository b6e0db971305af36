"""Messages that carry entries of the fleet's state to other processes."""

from balsamlug import clock as clocks
from balsamlug import group_reports
from balsamlug import plain
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.messages import types


def messages(state: fleet.FleetState, now_s: float) -> list[types.Message]:
    """Return messages that carry the complete state to a new neighbour."""
    result: list[types.Message] = [
        node_message(node) for node in state.nodes.values()
    ]
    if state.config_revision:
        result.append(
            types.ConfigUpdate(state.config_revision, state.config_value)
        )
    if state.instances_revision:
        result.append(instance_message(state))
    if state.evacuations.position:
        result.append(evacuation_message(state))
    result += [
        types.DomainUpdate(d.domain, d.version, d.value)
        for d in state.domains.values()
    ]
    result += _report_messages(state, now_s)
    result += [suspicion_message(s, now_s) for s in state.suspicions.values()]
    return result


def node_message(node: tables.Node) -> types.NodeUpdate:
    """Return the message that announces a node."""
    return types.NodeUpdate(
        node.id,
        node.incarnation,
        str(node.state),
        node.region,
        node.failure_domain,
        node.peer_address,
        node.cpu_milli,
    )


def suspicion_message(
    suspicion: tables.Suspicion, now_s: float
) -> types.SuspicionUpdate:
    """Return the message that announces a suspicion."""
    age_ms = max(0, int((now_s - suspicion.seen_at_s) * clocks.MS_PER_S))
    return types.SuspicionUpdate(
        suspicion.fingerprint, suspicion.crashes, age_ms
    )


def instance_message(state: fleet.FleetState) -> types.InstanceUpdate:
    """Return the message that carries the instance list."""
    raw = [
        plain.instance_to_dict(instance)
        for instance in state.instances.values()
    ]
    return types.InstanceUpdate(state.instances_revision, raw)


def evacuation_message(state: fleet.FleetState) -> types.EvacuationUpdate:
    """Return the message that carries the evacuated failure domains."""
    held = state.evacuations
    return types.EvacuationUpdate(held.position, sorted(held.stored))


def _report_messages(
    state: fleet.FleetState, now_s: float
) -> list[types.Message]:
    return [
        group_reports.report_message(received, now_s)
        for by_prober in state.reports.values()
        for received in by_prober.values()
        if now_s - received.observed_at_s <= fleet.REPORT_LIFETIME_S
    ]
