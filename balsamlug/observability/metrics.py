"""Prometheus metrics of the router and gateway processes."""

import prometheus_client
from prometheus_client import exposition

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
# The buckets include the targets: 1.8 s to the first token and 76 ms between
# tokens.
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.076, 0.15, 0.3, 1, 5)


class _Metrics:
    """Metrics of one process in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return exposition.generate_latest(self.registry)

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"balsamlug_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"balsamlug_{name}", text, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"balsamlug_{name}", text, buckets=buckets, registry=self.registry
        )


class GatewayMetrics(_Metrics):
    """Metrics of the gateway of an entry process."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter(
            "requests", "Requests by kind and outcome", "kind", "outcome"
        )
        self.refusals = self._counter("refusals", "Refusals by code", "code")
        self.shed = self._counter(
            "callers_shed", "Connections of callers ended by reason", "reason"
        )
        self.retries = self._counter(
            "retries", "Retries by ending of the attempt before", "ending"
        )
        self.warmup_requests = self._counter(
            "warmup_requests", "Requests sent to cold instances"
        )
        self.warmup_exclusions = self._counter(
            "warmup_exclusions",
            "Cold candidates excluded for lack of a permit",
        )
        self.ramp_limits_reached = self._counter(
            "ramp_limits_reached",
            "Candidates excluded because their limit after a start is reached",
        )
        self.admissions = self._counter(
            "admissions", "Decisions of the admission control", "reason"
        )
        self.first_event_s = self._histogram(
            "first_event_seconds", "Time to first event", FIRST_TOKEN_BUCKETS_S
        )
        self.request_s = self._histogram(
            "request_seconds", "Time of a whole request", FIRST_TOKEN_BUCKETS_S
        )
        self.evacuated_domains = self._gauge(
            "evacuated_domains", "Failure domains that get no requests"
        )
        self.unread_bytes = self._gauge(
            "unread_bytes", "Bytes held for callers that do not read"
        )
        self.unread_broken_off = self._counter(
            "unread_broken_off", "Unread answers broken off", "reason"
        )


class RouterMetrics(_Metrics):
    """Metrics of one router."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter(
            "requests", "Requests by kind and outcome", "kind", "outcome"
        )
        self.refusals = self._counter("refusals", "Refusals by code", "code")
        self.retries = self._counter("retries", "Retries by reason", "reason")
        self.upstream_failures = self._counter(
            "upstream_failures", "Failed attempts by reason", "reason"
        )
        self.protocol_errors = self._counter(
            "protocol_errors", "Bad frames by reason", "reason"
        )
        self.ledger_events = self._counter(
            "ledger_events", "Decisions on non-idempotent calls", "event"
        )
        self.ledger_commits = self._counter(
            "ledger_commits", "Successful updates of ledger objects"
        )
        self.ledger_operations = self._counter(
            "ledger_operations", "Operations committed by these updates"
        )
        self.store_calls = self._counter(
            "store_calls", "Calls of the object API", "call", "result"
        )
        self.queued = self._gauge("queued", "Requests waiting for a group")
        self.in_flight = self._gauge("in_flight", "Requests being served")
        self.control_sent = self._gauge(
            "control_sent_bytes", "Bytes sent to the controller"
        )
        self.control_received = self._gauge(
            "control_received_bytes", "Bytes received from the controller"
        )
        self.first_token_s = self._histogram(
            "first_token_seconds", "Time to first token", FIRST_TOKEN_BUCKETS_S
        )
        self.token_gap_s = self._histogram(
            "token_gap_seconds", "Time between tokens", TOKEN_GAP_BUCKETS_S
        )

    def refusal_counts(self) -> dict[str, int]:
        """Return the number of refusals by code since the process started."""
        return {
            sample.labels["code"]: int(sample.value)
            for metric in self.refusals.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }
