"""Times at which faults disturb nodes and servers.

Promises with a time bound hold only for nodes in touch: those that no fault has
disturbed for some time.
"""

import attrs

from soak import plan

# The platform's StableWindowMs, in s.
STABLE_WINDOW_S = 3.0
# Planned work and silences of sound servers, which excuse nothing, and the
# fault under which promises are checked.
CALM_KINDS = frozenset(
    {
        "node_hup",
        "revoke",
        plan.VERSION,
        plan.CRASHING_PART,
        plan.SERVER_SILENT,
        plan.HEAD_SILENT,
        plan.SERVER_LEAVES,
        plan.CUSTOMERS_CHANGE,
        # Those who check nodes beside it know which ones are turned away.
        plan.READERS_REFUSED,
    }
)
_SERVER_KINDS = (*plan.SERVER_KINDS, plan.COLD_RESTART, plan.EVACUATION)
# StableWindowMs, in s, of the deployments with an evacuation.
CONTACT_WINDOW_S = 4.0
_PROCESS_KINDS = ("node_kill", "node_pause", "node_term", *plan.BUILD_KINDS)
_STORE_KINDS = (
    "store_cut",
    "store_down",
    "store_loses_answers",
    "store_forgets",
    plan.STORE_RESTORED,
    plan.GENERATIONS_LOST,
)
_TARGETED_KINDS = plan.NODE_KINDS + plan.BUILD_KINDS


@attrs.frozen
class _Span:
    kind: str
    target: int
    start_s: float
    end_s: float

    def touches(self, from_s: float, until_s: float) -> bool:
        return self.start_s <= until_s and self.end_s >= from_s


@attrs.define
class Disruptions:
    """Spans of the faults of a run."""

    _spans: list[_Span] = attrs.field(factory=list)

    def record(self, fault: plan.Fault, start_s: float, end_s: float) -> None:
        """Record the span of a fault that has ended."""
        if fault.kind not in CALM_KINDS:
            span = _Span(fault.kind, fault.target, start_s, end_s)
            self._spans.append(span)

    def is_in_touch(self, node: int, time_s: float) -> bool:
        """Return whether neither a node nor the store was disturbed."""
        return self.is_in_touch_throughout(node, time_s, time_s)

    def is_in_touch_throughout(
        self, node: int, start_s: float, end_s: float
    ) -> bool:
        """Return whether a node was in touch at all times of a span."""
        return not any(
            span.touches(start_s - STABLE_WINDOW_S, end_s)
            for span in self._spans
            if span.kind not in _SERVER_KINDS
            and (span.kind not in _TARGETED_KINDS or span.target == node)
        )

    def are_servers_calm(self, time_s: float) -> bool:
        """Return whether no server or its link was disturbed."""
        return not any(
            span.touches(time_s - 2 * STABLE_WINDOW_S, time_s)
            for span in self._spans
            if span.kind in _SERVER_KINDS
        )

    def is_in_contact(self, node: int, time_s: float) -> bool:
        """Return whether a process and its links to nodes were undisturbed.

        Unlike for a node in touch, the store and its links don't matter.
        """
        return not any(
            span.touches(time_s - CONTACT_WINDOW_S, time_s)
            for span in self._spans
            if span.kind == plan.GENERATIONS_LOST
            or (span.kind in _PROCESS_KINDS and span.target == node)
        )

    def is_store_stable(self, time_s: float) -> bool:
        """Return whether neither the store nor a link to it was disturbed."""
        return not any(
            span.touches(time_s - CONTACT_WINDOW_S, time_s)
            for span in self._spans
            if span.kind in _STORE_KINDS
        )

    def is_link_disturbed(
        self, server: int, start_s: float, end_s: float
    ) -> bool:
        """Return whether the link to a server was disturbed in a span."""
        return any(
            span.touches(start_s, end_s)
            for span in self._spans
            if span.kind == "server_link" and span.target == server
        )
