"""Wiring of what serves callers: parts of the gateway and the frontend."""

import functools

import attrs
import eliot

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.gateway import endings
from balsamlug.gateway import exchange
from balsamlug.gateway import failure_detector
from balsamlug.gateway import frontend
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import overload
from balsamlug.gateway import receive_budget
from balsamlug.gateway import unread_answers
from balsamlug.health import listed as listing
from balsamlug.observability import metrics as metric
from balsamlug.paths import connector as connectors


def admission(
    settings: schema.EntrySettings,
    counts: loads.Loads,
    clock: clocks.Clock,
    exchanged: exchange.Exchange,
    metrics: metric.GatewayMetrics,
) -> overload.PlainChoice:
    """Return the admission control, or the plain choice if it is disabled."""
    if not settings.overload_control:
        return overload.PlainChoice()
    return overload.OverloadControl(
        counts,
        clock,
        exchanged.lag_s,
        lambda reason: metrics.admissions.labels(reason).inc(),
    )


def failure_endings(
    state: fleet.FleetState,
    listed: listing.Listed,
    clock: clocks.Clock,
    detector: failure_detector.Detector,
    connector: connectors.Connector,
) -> endings.Endings:
    """Return the checks of instances whose attempts failed."""
    return endings.Endings(
        state,
        listed,
        clock,
        detector.is_local_path_up,
        functools.partial(endings.connect, open_connection=connector.connect),
    )


def receive_limits(
    settings: schema.EntrySettings,
) -> receive_budget.ReceiveLimits:
    """Return the bounds on what callers send, and log them."""
    limits = receive_budget.derive(settings.memory_mb, settings.max_fds)
    eliot.log_message("receive_limits", **attrs.asdict(limits))
    return limits


def create_frontend(
    settings: schema.EntrySettings,
    handle: frontend.Handler,
    headers: messages.HeaderCodec,
    clock: clocks.Clock,
    limits: catalogues.CallerLimits,
    bounds: receive_budget.ReceiveLimits,
    metrics: metric.GatewayMetrics,
) -> frontend.Frontend:
    """Return the HTTP server for callers.

    Args:
      handle: serves a complete request.
      limits: limits of the configuration for each request.
      bounds: bounds of the node for all requests together.
    """
    created = frontend.Frontend(
        handle,
        headers,
        clock,
        limits,
        bounds,
        lambda reason: metrics.shed.labels(reason).inc(),
    )
    created.unread = unread_answers.create(settings.unread_mb, clock, metrics)
    return created
