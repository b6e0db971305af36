"""Metrics of the controller process."""

import attrs
import prometheus_client as prom


@attrs.frozen
class Metrics:
    """Counters and gauges in a separate registry for each controller.

    Tests run several controllers in one process.
    """

    registry: prom.CollectorRegistry
    protocol_errors: prom.Counter
    store_calls: prom.Counter
    peer_bytes: prom.Counter
    peer_links: prom.Gauge
    broadcast_messages: prom.Counter
    config_revision: prom.Gauge


def create(registry: prom.CollectorRegistry | None = None) -> Metrics:
    """Return the metrics of one controller, all zero.

    Args:
      registry: registry to add the metrics to; a new one by default.
    """
    registry = registry or prom.CollectorRegistry()
    return Metrics(
        registry,
        prom.Counter(
            "balsamlug_protocol_errors",
            "Connections closed for a broken protocol, by reason.",
            ["stream", "reason"],
            registry=registry,
        ),
        prom.Counter(
            "balsamlug_store_calls",
            "Calls of the object API, by call and result.",
            ["call", "result"],
            registry=registry,
        ),
        prom.Counter(
            "balsamlug_peer_bytes",
            "Bytes on the streams between controllers, by direction.",
            ["direction"],
            registry=registry,
        ),
        prom.Gauge(
            "balsamlug_peer_links",
            "Neighbours with a working connection.",
            registry=registry,
        ),
        prom.Counter(
            "balsamlug_broadcast_messages",
            "Messages of the broadcast trees, by result.",
            ["result"],
            registry=registry,
        ),
        prom.Gauge(
            "balsamlug_config_revision",
            "Configuration revision in force at this node.",
            registry=registry,
        ),
    )
