"""State and components that all requests of a gateway share."""

import asyncio
from collections.abc import Callable
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import evacuations
from balsamlug import notices
from balsamlug import quarantine as quarantines
from balsamlug import rate_limits
from balsamlug import state as fleet
from balsamlug.gateway import answer_buffers
from balsamlug.gateway import durations
from balsamlug.gateway import endings
from balsamlug.gateway import failure_detector
from balsamlug.gateway import grace
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import overload
from balsamlug.gateway import ramp
from balsamlug.gateway import recent_refusals
from balsamlug.gateway import warmup as warmups
from balsamlug.observability import metrics as metric
from balsamlug.paths import connector as connectors
from balsamlug.router import retries


@attrs.define
class Context:
    """Tables and components that requests are served with.

    Attributes:
      background: group checks that run without a request waiting for them.
    """

    fleet: fleet.FleetState
    clock: clocks.Clock
    rng: random.Random
    headers: messages.HeaderCodec
    loads: loads.Loads
    groups: groups.GroupTable
    detector: failure_detector.Detector
    endings: endings.Endings
    budgets: retries.RetryBudgets
    rate_limits: rate_limits.RateLimits
    recent_refusals: recent_refusals.RecentRefusals
    quarantine: quarantines.Quarantine
    metrics: metric.GatewayMetrics
    connector: connectors.Connector
    notices: notices.Notices
    grace: grace.Grace
    durations: durations.Durations
    buffers: answer_buffers.AnswerBuffers = attrs.field(
        factory=answer_buffers.AnswerBuffers
    )
    warmup: warmups.Permits = attrs.field(factory=warmups.Permits)
    ramps: ramp.Ramps = attrs.field(factory=ramp.Ramps)
    admission: overload.PlainChoice = attrs.field(factory=overload.PlainChoice)
    log: Callable[..., None] = eliot.log_message
    background: set[asyncio.Task] = attrs.field(factory=set)
    exclusion: evacuations.Exclusion = attrs.field(
        factory=evacuations.Exclusion
    )
