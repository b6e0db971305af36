"""Observed and agreed state of the fleet in one process.

Controllers update it from the object API, their probes and their peers. A
router updates it from its controller. All messages are applied by the same
rules, so the result does not depend on the order of arrival.
"""

from collections.abc import Callable
import functools

import attrs
import cattrs
from returns import result

from balsamlug import catalogue as catalogues
from balsamlug import catalogue_deltas
from balsamlug import clock as clocks
from balsamlug import crashed_prompts
from balsamlug import evacuations as evacuation_sets
from balsamlug import exceptions
from balsamlug import group_reports
from balsamlug import plain
from balsamlug import restored_domains
from balsamlug import retention
from balsamlug import store_reads
from balsamlug import suspicions
from balsamlug import tables
from balsamlug import validation
from balsamlug.config import loader
from balsamlug.config import schema
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.store import positions

REPORT_LIFETIME_S = group_reports.REPORT_LIFETIME_S
# A quarantined fingerprint is refused for this time after the last crash.
SUSPICION_LIFETIME_S = suspicions.LIFETIME_S
# Published list revisions per platform revision. The last one is that of the
# complete list; with entries retained after an outage, it is an earlier one.
LIST_REVISION_STEP = 2
# Key under which the value of a configuration holds a catalogue.
CATALOGUE_KEY = "catalogue"

Listener = Callable[[types.Message], None]


@attrs.frozen
class DomainObject:
    """Version of the agreed object of a fabric domain.

    Attributes:
      version: position of the object API at which the object was written.
      key: hash of all that a renewal of the lease does not change.
    """

    domain: str
    version: int
    value: dict
    key: bytes = b""

    @property
    def is_restored(self) -> bool:
        """Return whether the store holds a copy from an earlier era.

        Later versions may have been lost when the store was restored, so the
        value may be newer than the stored one.
        """
        return restored_domains.is_restored(self.version, self.value)


@attrs.define
class FleetState:
    """Tables of the fleet.

    Attributes:
      site: name of the site whose configuration overlay applies.
      store_era: highest era of the store in any message.
      unconfirmed: kinds of which a peer sent an implausible version, until
        the node has read them from the object API.
      config_revision: active revision, 0 before the first.
      config_history: last values of the catalogue, where it is defined.
      reports: group id -> prober -> last report.
      dropped: suspicions beyond the limit.
      prompts: crashes with the parts of prompts that are no suspicions.
      domain_keys: key of a lease renewal -> fabric domain.
      report_keys: key of a refresh -> group id and prober.
      catalogue: active routes and models, where a platform defines them.
      reads: reads of the object API that nodes have stated.
      status_source: returns the status of a group that the platform's list
        announces. Reports of probers are not used when it is set.
    """

    site: str
    nodes: dict[str, tables.Node] = attrs.field(factory=dict)
    instances: dict[str, tables.Instance] = attrs.field(factory=dict)
    instances_revision: int = 0
    domains: dict[str, DomainObject] = attrs.field(factory=dict)
    store_era: int = 0
    unconfirmed: set[str] = attrs.field(factory=set)
    config_revision: int = 0
    config_value: dict = attrs.field(factory=dict)
    config_history: catalogue_deltas.History = attrs.field(
        factory=catalogue_deltas.History
    )
    settings: schema.Settings = attrs.field(factory=schema.Settings)
    reports: dict[str, dict[str, group_reports.ReceivedReport]] = attrs.field(
        factory=dict
    )
    suspicions: dict[str, tables.Suspicion] = attrs.field(factory=dict)
    dropped: retention.Dropped = attrs.field(factory=retention.Dropped)
    prompts: crashed_prompts.CrashedPrompts = attrs.field(
        factory=crashed_prompts.CrashedPrompts
    )
    domain_keys: dict[bytes, str] = attrs.field(factory=dict)
    report_keys: dict[bytes, tuple[str, str]] = attrs.field(factory=dict)
    catalogue: catalogues.Catalogue = attrs.field(factory=catalogues.Catalogue)
    status_source: Callable[[str, float], tables.GroupStatus] | None = None
    evacuations: evacuation_sets.Evacuations = attrs.field(
        factory=evacuation_sets.Evacuations
    )
    reads: store_reads.StoreReads = attrs.field(factory=store_reads.StoreReads)
    _listeners: list[Listener] = attrs.field(factory=list)
    _live: list[tables.Node] = attrs.field(factory=list)
    _live_source: list[tables.Node] = attrs.field(factory=list)

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with every message that changed the state."""
        self._listeners.append(listener)

    def publish(
        self, message: types.Message, now_s: float, is_checked: bool = False
    ) -> bool:
        """Apply a message and notify the listeners when it changed the state.

        Args:
          is_checked: whether the values of the message are validated.

        Raises:
          ProtocolError: the message carries an impossible value.
        """
        if not is_checked:
            validation.check(message)
        changed = apply(message, self, now_s)
        if changed:
            for listener in self._listeners:
                listener(message)
        return changed

    def group_status(self, group_id: str, now_s: float) -> tables.GroupStatus:
        """Return the readiness of a group from all recent reports.

        A definite report that the group is not ready takes precedence over all
        others. A report of unresponsive members does not, while another prober
        still receives responses from every member: the network path of the
        first prober may be interrupted.
        """
        if self.status_source is not None:
            return self.status_source(group_id, now_s)
        recent = self._recent_reports(group_id, now_s)
        if not recent:
            return group_reports.unobserved(group_id)
        down = [r for r in recent if not r.report.ready and r.report.definite]
        up = [r for r in recent if r.report.ready]
        chosen = (down or up or recent)[0]
        return group_reports.status(chosen)

    def ready_groups(
        self, deployment: str, now_s: float
    ) -> list[tables.GroupStatus]:
        """Return the ready groups of a deployment."""
        statuses = (self.group_status(g, now_s) for g in list(self.reports))
        return [s for s in statuses if s.ready and s.deployment == deployment]

    def live_nodes(self) -> list[tables.Node]:
        """Return the nodes that take part in dissemination and hashing.

        The same list is returned until a node changes. Callers must not modify
        it.
        """
        nodes = list(self.nodes.values())
        # The comparison is fast while both lists hold identical objects.
        if nodes != self._live_source:
            self._live_source = nodes
            up = (n for n in nodes if n.state is tables.NodeState.UP)
            self._live = sorted(up, key=lambda node: node.id)
        return self._live

    def is_upstream(self, address: str) -> bool:
        """Return whether the list or the configuration names an address."""
        services = self.settings.services.values()
        return any(
            instance.address == address for instance in self.instances.values()
        ) or any(address in service.addresses for service in services)

    def set_domain(self, domain_object: DomainObject) -> None:
        """Replace a domain object and the key of its renewals."""
        self._observe_era(domain_object.version)
        current = self.domains.get(domain_object.domain)
        if current is not None:
            self.domain_keys.pop(current.key, None)
        self.domains[domain_object.domain] = domain_object
        self.domain_keys[domain_object.key] = domain_object.domain

    def set_instances(
        self, revision: int, instances: dict[str, tables.Instance]
    ) -> None:
        """Replace the instance list."""
        self._observe_era(revision // LIST_REVISION_STEP)
        self.instances_revision = revision
        self.instances = instances

    def set_evacuated(
        self, position: int, domains: list[str], now_s: float
    ) -> bool:
        """Replace the evacuated failure domains unless they are older."""
        self._observe_era(position)
        return self.evacuations.update(position, domains, now_s)

    def _observe_era(self, position: int) -> None:
        self.store_era = max(self.store_era, positions.era_of(position))

    def expire(self, now_s: float) -> None:
        """Remove expired observations."""
        for group_id in list(self.reports):
            by_prober = self.reports[group_id]
            for prober in list(by_prober):
                age_s = now_s - by_prober[prober].observed_at_s
                if age_s > group_reports.REPORT_RETENTION_S:
                    key = refresh.report_key(by_prober[prober].report)
                    self.report_keys.pop(key, None)
                    del by_prober[prober]
            if not by_prober:
                del self.reports[group_id]
        for name in retention.expired(self.suspicions.values(), now_s):
            del self.suspicions[name]
        self.dropped.expire(now_s - retention.MAX_RETENTION_S)
        self.reads.expire(now_s)
        self.prompts.expire(now_s - SUSPICION_LIFETIME_S)

    def _recent_reports(
        self, group_id: str, now_s: float
    ) -> list[group_reports.ReceivedReport]:
        reports = list(self.reports.get(group_id, {}).values())
        if not reports:
            return []
        newest = max(r.report.generation for r in reports)
        return [
            r
            for r in reports
            if r.report.generation == newest
            and now_s - r.observed_at_s <= REPORT_LIFETIME_S
        ]


@functools.singledispatch
def apply(message: types.Message, state: FleetState, now_s: float) -> bool:
    """Apply a message and return whether it changed the state."""
    del message, state, now_s
    return False


@apply.register
def _(message: types.NodeUpdate, state: FleetState, now_s: float) -> bool:
    del now_s
    current = state.nodes.get(message.node)
    update = tables.Node(
        message.node,
        message.incarnation,
        message.region,
        message.failure_domain,
        message.peer_address,
        tables.NodeState(message.state),
        message.cpu_milli,
    )
    if current is not None and _node_rank(update) <= _node_rank(current):
        return False
    state.nodes[message.node] = update
    return True


# Within one incarnation a node only changes from up to leaving to down.
NODE_STATE_RANK = {
    tables.NodeState.UP: 0,
    tables.NodeState.LEAVING: 1,
    tables.NodeState.DOWN: 2,
}


def _node_rank(node: tables.Node) -> tuple[int, int, bool]:
    # Builds that do not know the processor time pass nodes on without it.
    state_rank = NODE_STATE_RANK[node.state]
    return node.incarnation, state_rank, bool(node.cpu_milli)


@apply.register
def _(message: types.ConfigUpdate, state: FleetState, now_s: float) -> bool:
    del now_s
    if message.revision <= state.config_revision:
        return False
    if CATALOGUE_KEY in message.value:
        return _apply_catalogue(message, state)
    overlay = message.value.get("overlays", {}).get(state.site, "")
    loaded = loader.load(message.value.get("base", ""), overlay)
    if not isinstance(loaded, result.Success):
        return False
    state.config_revision = message.revision
    state.config_value = message.value
    state.settings = loaded.unwrap()
    return True


def _apply_catalogue(message: types.ConfigUpdate, state: FleetState) -> bool:
    known = state.config_history.last
    try:
        value = message.value[CATALOGUE_KEY]
        if known is not None and catalogue_deltas.is_keyed(value):
            value = catalogue_deltas.shared(value, known)
        catalogue = catalogues.from_value(value, known, state.catalogue)
        settings = catalogues.settings(catalogue)
    except (cattrs.BaseValidationError, *exceptions.MALFORMED_VALUE):
        return False
    state.config_revision = message.revision
    state.config_value = message.value | {CATALOGUE_KEY: value}
    state.config_history.add(message.revision, value)
    state.catalogue = catalogue
    state.settings = settings
    return True


@apply.register
def _(message: types.DomainUpdate, state: FleetState, now_s: float) -> bool:
    del now_s
    current = state.domains.get(message.domain)
    if current is not None and message.version <= current.version:
        return False
    value = message.value
    is_restored = restored_domains.is_restored(message.version, value)
    if current is not None and is_restored:
        value = restored_domains.newest_content(current.value, value)
    key = renewal.lease_key(message.domain, value)
    state.set_domain(DomainObject(message.domain, message.version, value, key))
    return True


@apply.register
def _(message: types.LeaseRefresh, state: FleetState, now_s: float) -> bool:
    del now_s
    applied = [
        entry
        for entry in renewal.unpack(message.entries)
        if _apply_renewal(entry, state)
    ]
    return bool(applied)


def _apply_renewal(entry: renewal.Entry, state: FleetState) -> bool:
    current = state.domains.get(state.domain_keys.get(entry.key, ""))
    if current is None or entry.version <= current.version:
        return False
    value = renewal.renewed(current.value, entry.renewal)
    state.set_domain(attrs.evolve(current, version=entry.version, value=value))
    return True


@apply.register
def _(message: types.InstanceUpdate, state: FleetState, now_s: float) -> bool:
    del now_s
    if message.revision <= state.instances_revision:
        return False
    listed = {
        raw["id"]: plain.instance_from_dict(raw) for raw in message.instances
    }
    state.set_instances(message.revision, listed)
    return True


@apply.register
def _(message: types.InstanceDelta, state: FleetState, now_s: float) -> bool:
    del now_s
    if not is_delta_applicable(message, state.instances_revision):
        return False
    removed = set(message.removed)
    kept = {n: i for n, i in state.instances.items() if n not in removed}
    changed = {
        raw["id"]: plain.instance_from_dict(raw) for raw in message.changed
    }
    state.set_instances(message.revision, kept | changed)
    return True


@apply.register
def _(message: types.UpstreamNotice, state: FleetState, now_s: float) -> bool:
    # Listeners keep notices; they are no part of the state.
    del message, state, now_s
    return True


@apply.register
def _(message: types.StoreRead, state: FleetState, now_s: float) -> bool:
    return state.reads.record(message, now_s)


@apply.register
def _(message: types.CrashedPrompt, state: FleetState, now_s: float) -> bool:
    return state.prompts.add(message, now_s)


@apply.register
def _(message: types.EvacuationUpdate, state: FleetState, now_s: float) -> bool:
    return state.set_evacuated(message.position, message.domains, now_s)


def is_list_complete(revision: int) -> bool:
    """Return whether a list has no entries retained after an outage."""
    return revision % LIST_REVISION_STEP == LIST_REVISION_STEP - 1


def is_delta_applicable(message: types.InstanceDelta, revision: int) -> bool:
    """Return whether a delta leads from a local list to its revision.

    A delta contains every instance that changed since its base, so it also
    applies to a later list, unless that one retains entries which the sender
    did not have.
    """
    if message.base == revision:
        return message.revision > revision
    is_between = message.base < revision < message.revision
    return is_between and is_list_complete(revision)


@apply.register
def _(message: types.GroupReport, state: FleetState, now_s: float) -> bool:
    observed_at_s = now_s - message.age_ms / clocks.MS_PER_S
    by_prober = state.reports.setdefault(message.group_id, {})
    current = by_prober.get(message.prober)
    if current is not None:
        if not group_reports.is_newer(message, observed_at_s, current):
            return False
        state.report_keys.pop(refresh.report_key(current.report), None)
    by_prober[message.prober] = group_reports.ReceivedReport(
        message, observed_at_s
    )
    key = refresh.report_key(message)
    state.report_keys[key] = message.group_id, message.prober
    return True


@apply.register
def _(message: types.ReportRefresh, state: FleetState, now_s: float) -> bool:
    applied = [
        update
        for update in refresh.unpack(message.entries)
        if _apply_refresh(update, state, now_s)
    ]
    return bool(applied)


def _apply_refresh(
    update: refresh.Entry, state: FleetState, now_s: float
) -> bool:
    report_id = state.report_keys.get(update.key)
    if report_id is None:
        return False
    group_id, prober = report_id
    current = state.reports[group_id][prober]
    if not refresh.is_newer(current.tick, update):
        return False
    current.tick = refresh.expand_tick(current.tick, update)
    current.load = refresh.expand_load(current.load, update)
    current.observed_at_s = now_s - update.age_ms / clocks.MS_PER_S
    return True


@apply.register
def _(message: types.SuspicionUpdate, state: FleetState, now_s: float) -> bool:
    name = message.fingerprint
    seen_at_s = now_s - message.age_ms / clocks.MS_PER_S
    update = tables.Suspicion(name, message.crashes, seen_at_s)
    current = state.suspicions.get(name)
    if current is None and not state.dropped.is_new(update):
        return False
    if current is not None and update.crashes <= current.crashes:
        return False
    state.suspicions[name] = update
    state.dropped.limit(state.suspicions)
    return True
