"""Wiring of the warm-up permits and the slow start of a node."""

import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.gateway import exchange
from balsamlug.gateway import loads
from balsamlug.gateway import ramp
from balsamlug.gateway import warmup
from balsamlug.gateway import warmup_permits
from balsamlug.observability import metrics as metric


def permits(
    settings: schema.EntrySettings,
    state: fleet.FleetState,
    clock: clocks.Clock,
    rng: random.Random,
    metrics: metric.GatewayMetrics,
) -> warmup.Permits:
    """Return the permits by the settings; without a bound, all are granted."""
    if not settings.warmup_overshoot:
        return warmup.Permits()
    return warmup_permits.WarmupPermits(
        settings.id,
        warmup.Bound(settings.warmup_overshoot, settings.warmup_slack or 0.0),
        state,
        clock,
        rng,
        metrics,
        len(settings.peers),
    )


def ramps(
    settings: schema.EntrySettings,
    state: fleet.FleetState,
    counts: loads.Loads,
    clock: clocks.Clock,
    rng: random.Random,
    metrics: metric.GatewayMetrics,
    exchanged: exchange.Exchange,
    permits_: warmup.Permits,
) -> ramp.Ramps:
    """Return the limits of groups that start; none unless they are enabled."""
    if not settings.adaptive_ramp:
        return ramp.Ramps()
    return ramp.AdaptiveRamps(
        state,
        counts,
        clock,
        rng,
        metrics,
        exchanged.lag_s,
        permits_.is_limited,
    )
