"""Wiring of the control of groups: store, watchers, orders and leases."""

from collections.abc import Callable
import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import metrics as control_metrics
from balsamlug.controller import watchers
from balsamlug.entry import orders as entry_orders
from balsamlug.health import listed as listing
from balsamlug.ownership import formation
from balsamlug.ownership import manager as managers
from balsamlug.platform import objects as platform_objects
from balsamlug.platform import requests as platform_requests
from balsamlug.platform import servers as platform_servers
from balsamlug.router import upstream
from balsamlug.store import client

LIST_INTERVAL_S = 0.25
# At a start, all servers appear in the list within this time of each other.
STARTUP_FORMATION_DELAY_S = 0.25
# The second watcher of a failure domain replaces the first one after its loss.
# Alone, it must still deliver updates within the limit of 2 s.
STANDBY_INTERVAL_S = 0.8
# Lease holders send changes to all nodes; the watch only finds lost messages.
DOMAIN_INTERVAL_S = 3.0


def store(
    node: schema.NodeSettings,
    wire: platform_objects.PlatformWire,
    metrics: control_metrics.Metrics,
) -> client.ObjectStore:
    """Return the client of the platform's store, which counts its calls."""
    return client.ObjectStore(
        node.platform,
        lambda call, outcome: metrics.store_calls.labels(call, outcome).inc(),
        wire,
    )


def watcher(
    node: schema.NodeSettings,
    state: fleet.FleetState,
    objects: client.ObjectStore,
    clock: clocks.Clock,
    rng: random.Random,
    wire: platform_objects.PlatformWire,
) -> watchers.Watchers:
    """Return the watchers of the store."""
    return watchers.Watchers(
        node,
        state,
        objects,
        clock,
        rng,
        wire.configuration,
        LIST_INTERVAL_S,
        DOMAIN_INTERVAL_S,
        STANDBY_INTERVAL_S,
    )


def engine_api(connect: upstream.Connect) -> entry_orders.EngineApi:
    """Return the client for orders and reports in the platform's encoding."""
    return entry_orders.EngineApi(
        platform_servers.ORDER_PATH,
        platform_servers.REPORT_PATH,
        platform_servers.STALE_STATUS,
        platform_servers.order,
        platform_servers.report,
        platform_requests.expected_instance,
        connect,
    )


def manager(
    settings: schema.EntrySettings,
    state: fleet.FleetState,
    objects: client.ObjectStore,
    clock: clocks.Clock,
    rng: random.Random,
    listed: listing.Listed,
    send: Callable,
) -> managers.Manager:
    """Return the manager of leases and groups.

    Args:
      send: sends an order to an engine.
    """

    def address(instance: str) -> str:
        current = listed.current(instance)
        return current.address if current is not None else ""

    return managers.Manager(
        settings.id,
        state,
        objects,
        clock,
        rng,
        listed,
        address,
        send,
        formation.Formation(listed).due,
        fenced=True,
        staged_only=True,
        formation_delay_s=STARTUP_FORMATION_DELAY_S,
        prefers_warm_heads=bool(settings.warmup_overshoot),
    )
