"""Placeholder of the ownership tasks."""

import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.store import client


class ControlTasks:
    """Run no ownership tasks."""

    def __init__(
        self,
        settings: schema.NodeSettings,
        state: fleet.FleetState,
        store: client.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        del settings, state, store, clock, rng

    async def start(self) -> None:
        """Start nothing."""

    async def stop(self) -> None:
        """Stop nothing."""

    def status(self, now: float) -> dict:
        """Return an empty status."""
        del now
        return {}

    def explain(self, subject: str) -> list[str]:
        """Return no reasons."""
        del subject
        return []
