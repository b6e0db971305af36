"""Wiring of the warm-up permits of a node."""

import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.gateway import warmup
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
    return warmup.WarmupPermits(
        settings.id,
        warmup.Bound(settings.warmup_overshoot, settings.warmup_slack or 0.0),
        state,
        clock,
        rng,
        metrics,
        len(settings.peers),
    )
