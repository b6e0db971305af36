"""Report and explain the state of domains, groups and instances."""

from collections.abc import Callable
from collections.abc import Mapping

from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import lease as leases
from balsamlug.ownership import manager as managers
from balsamlug.ownership import reasons
from balsamlug.ownership import services


class Explainer:
    """Answers `status` and `explain` requests from the tables of this node."""

    def __init__(
        self,
        node: str,
        state: fleet.FleetState,
        manager: managers.Manager,
    ) -> None:
        self._node = node
        self._state = state
        self._manager = manager
        self._groups = manager.views.groups
        self._services = services.Services(state)

    def status(self, now_s: float) -> dict:
        """Return the state of every domain as a JSON value."""
        domains = sorted(self._state.domains)
        return {"domains": {d: self._domain_status(d, now_s) for d in domains}}

    def explain(self, subject: str, now_s: float) -> list[str]:
        """Return the causes for the state of a subject, one per line."""
        explainers: tuple[Callable[[str, float], list[str]], ...] = (
            self._explain_domain,
            self._explain_group,
            self._explain_instance,
            self._explain_deployment,
        )
        lines = [
            line for explain in explainers for line in explain(subject, now_s)
        ]
        return lines or [f"{subject}: not known to node {self._node}"]

    def _domain_status(self, domain: str, now_s: float) -> dict:
        obj = self._state.domains[domain]
        lease = leases.from_value(obj.value)
        record = self._manager.records.get(domain)
        return {
            "version": obj.version,
            "holder": lease.holder,
            "epoch": lease.epoch,
            "held_here": record is not None and record.holds(now_s),
            "groups": {
                g.id: self._group_status(g, now_s)
                for g in self._groups.of(domain).values()
            },
            "idle": [
                _idle_value(i) for i in self._idle_instances(domain, now_s)
            ],
            "draining": dict(obj.value.get("draining", {})),
        }

    def _group_status(self, group: tables.Group, now_s: float) -> dict:
        status = self._state.group_status(group.id, now_s)
        ready = status.ready and status.generation == group.generation
        return {
            "deployment": self._pool(group),
            "generation": group.generation,
            "members": list(group.members),
            "retiring": group.retiring,
            "ready": ready,
            "reason": "" if ready else status.reason,
        }

    def _idle_instances(self, domain: str, now_s: float) -> list[reasons.Idle]:
        """Return the instances in no group; only the holder has all reasons."""
        record = self._manager.records.get(domain)
        groups = self._groups.of(domain).values()
        members = {m for g in groups for m in g.members}
        planned = {}
        if record is not None and record.plan and record.holds(now_s):
            planned = {i.instance: i for i in record.plan.idle}
        return [
            planned.get(instance) or self._reason_without_plan(domain, instance)
            for instance in self._manager.views.engines(domain)
            if instance not in members
        ]

    def _reason_without_plan(self, domain: str, instance: str) -> reasons.Idle:
        """Return the reason for an instance that is in no local plan."""
        obj = self._state.domains.get(domain)
        value = obj.value if obj is not None else {}
        draining = value.get("draining", {})
        if instance in draining:
            reason = reasons.Reason.OPERATOR_DRAINING
            return reasons.Idle(instance, reason, draining[instance])
        listed = self._state.instances.get(instance)
        if listed is not None and listed.state is tables.InstanceState.LEAVING:
            return reasons.Idle(instance, reasons.Reason.LEAVING)
        holder = leases.from_value(value).holder if value else ""
        if holder in ("", self._node):
            return reasons.Idle(instance, reasons.Reason.NOT_PLANNED)
        return reasons.Idle(instance, reasons.Reason.KNOWN_TO_HOLDER, holder)

    def _explain_domain(self, subject: str, now_s: float) -> list[str]:
        if subject not in self._manager.views.domains():
            return []
        obj = self._state.domains.get(subject)
        if obj is None:
            return [f"domain {subject}: no holder has created its object"]
        return [self._holder_line(subject, obj, now_s)] + [
            self._group_line(group, now_s)
            for group in self._groups.of(subject).values()
        ]

    def _holder_line(
        self, domain: str, obj: fleet.DomainObject, now_s: float
    ) -> str:
        lease = leases.from_value(obj.value)
        record = self._manager.records.get(domain)
        rank = self._manager.rank(domain)
        if not lease.holder:
            return f"domain {domain}: no holder; this node has rank {rank}"
        text = f"domain {domain}: held by {lease.holder}, epoch {lease.epoch}"
        if record is None or record.view is None:
            return text
        if record.holds(now_s):
            left_s = leases.held_until_s(record.view) - now_s
            return f"{text}; this node, for {left_s:.1f} s without renewal"
        age_s = now_s - record.view.seen_at_s
        return f"{text}; last change of the lease seen {age_s:.1f} s ago"

    def _explain_group(self, subject: str, now_s: float) -> list[str]:
        for domain, group in self._groups.all():
            if group.id == subject:
                holder = self._holder_line(
                    domain, self._state.domains[domain], now_s
                )
                return [
                    self._group_line(group, now_s),
                    *self._report_lines(group, now_s),
                    holder,
                ]
        return []

    def _group_line(self, group: tables.Group, now_s: float) -> str:
        status = self._group_status(group, now_s)
        state = "ready" if status["ready"] else f"not ready: {status['reason']}"
        return (
            f"group {group.id} of {self._pool(group)}, generation"
            f" {group.generation}: {state}"
        )

    def _report_lines(self, group: tables.Group, now_s: float) -> list[str]:
        reports = self._state.reports.get(group.id, {})
        return [
            f"prober {prober}, {now_s - r.observed_at_s:.1f} s ago:"
            f" {'ready' if r.report.ready else r.report.reason}"
            f" at generation {r.report.generation}"
            for prober, r in sorted(reports.items())
        ]

    def _explain_instance(self, subject: str, now_s: float) -> list[str]:
        instance = self._state.instances.get(subject)
        if instance is None:
            return []
        lines = [
            f"instance {subject}: {instance.state} in the platform's list,"
            f" domain {instance.fabric_domain}"
        ]
        for _, group in self._groups.all():
            if subject in group.members:
                lines += self._explain_group(group.id, now_s)
        idle = self._idle_instances(instance.fabric_domain, now_s)
        lines += [str(i) for i in idle if i.instance == subject]
        return lines

    def _pool(self, group: tables.Group) -> str:
        """Return the deployment of a group, with its service if needed."""
        service = self._services.of_group(group)
        return self._state.catalogue.pool(service, group.deployment)

    def _explain_deployment(self, subject: str, now_s: float) -> list[str]:
        lines = []
        for pool, deployment in self._state.settings.deployments.items():
            if subject in (pool, deployment.name):
                lines += self._deployment_lines(pool, deployment, now_s)
        return lines

    def _deployment_lines(
        self, pool: str, deployment: schema.Deployment, now_s: float
    ) -> list[str]:
        groups = [
            group
            for _, group in self._groups.all()
            if self._pool(group) == pool
        ]
        head = (
            f"deployment {pool}: {len(groups)} groups,"
            f" minimum {deployment.min_groups},"
            f" maximum {deployment.max_groups}"
        )
        return [head] + [self._group_line(g, now_s) for g in groups]


def _idle_value(idle: reasons.Idle) -> Mapping[str, str]:
    return {
        "instance": idle.instance,
        "reason": str(idle.reason),
        "text": reasons.TEXTS[idle.reason],
        "detail": idle.detail,
    }
