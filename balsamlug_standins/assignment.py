"""Group assignment of the engine stand-in, changed by orders of the holder."""

import asyncio
from collections.abc import Callable
import time

import attrs

from balsamlug_standins import engine_settings

JOIN_FIELDS = ("group", "generation", "rank", "members", "model", "version")


@attrs.define
class Assignment:
    """Group membership and model that the last accepted order assigned.

    Attributes:
      settings: settings of the engine, shared with its other parts.
      on_change: called with a reason before the assignment changes.
      state: idle, loading or ready.
      loaded: model and version whose weights are in memory.
      fencing: highest fencing number received in an order.
      orders: all received orders, including refused ones.
    """

    settings: engine_settings.EngineSettings
    on_change: Callable[[str], None]
    group: str = ""
    generation: int = 0
    rank: int = 0
    members: list[str] = attrs.field(factory=list)
    addresses: list[str] = attrs.field(factory=list)
    model: str = ""
    version: str = ""
    state: str = "idle"
    loaded: tuple[str, str] = ("", "")
    fencing: int = 0
    orders: list[dict] = attrs.field(factory=list)
    _load_task: asyncio.Task | None = None

    def reported_state(self) -> str:
        """Return the state that /v1/status reports."""
        return "draining" if self.settings.draining else self.state

    def is_head(self) -> bool:
        """Return whether the engine is the head, which serves the requests."""
        return bool(self.group) and self.rank == 0

    def apply_order(self, order: dict) -> tuple[int, dict]:
        """Apply an order and return HTTP status and body of the response."""
        fencing = int(order["fencing"])
        stale = self.settings.fencing and fencing < self.fencing
        entry = order | {"accepted": not stale, "at_ms": _wall_ms()}
        self.orders.append(entry)
        if stale:
            return 409, {"error": "stale_fencing", "fencing": self.fencing}
        self.fencing = max(self.fencing, fencing)
        handlers = {"join": self._join, "leave": self._leave}
        if order.get("kind") not in handlers:
            return 400, {"error": "unknown_order"}
        return 200, {"applied": handlers[order["kind"]](order)}

    def _join(self, order: dict) -> bool:
        requested = {name: order[name] for name in JOIN_FIELDS}
        if all(getattr(self, name) == requested[name] for name in JOIN_FIELDS):
            self.addresses = list(order["addresses"])
            return False
        self.on_change("reassigned")
        for name, value in requested.items():
            setattr(self, name, value)
        self.addresses = list(order["addresses"])
        self._start_load()
        return True

    def _leave(self, order: dict) -> bool:
        if order.get("group") != self.group:
            return False
        self.on_change("left")
        self._stop_load()
        self.group, self.generation, self.rank = "", 0, 0
        self.members, self.addresses = [], []
        self.model, self.version = "", ""
        self.state = "idle"
        return True

    def _start_load(self) -> None:
        """Start loading the weights unless they are in memory already."""
        self._stop_load()
        if self.loaded == (self.model, self.version):
            self.state = "ready"
            return
        self.state = "loading"
        self.loaded = ("", "")
        self._load_task = asyncio.create_task(self._finish_load())

    def _stop_load(self) -> None:
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None

    async def _finish_load(self) -> None:
        await asyncio.sleep(self.settings.load_ms / 1000)
        self.loaded = (self.model, self.version)
        self.state = "ready"


def _wall_ms() -> int:
    return int(time.time() * 1000)
