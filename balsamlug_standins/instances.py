"""Instance list of the platform stand-in, published with a lag."""

import asyncio
from collections.abc import Callable

import attrs

from balsamlug_standins import waiting


@attrs.define
class InstanceList:
    """Actual instances and the published list, which lags behind them.

    Attributes:
      lag_ms: time from a change to its publication.
      actual: instances as last set, by id.
      published: instances as the list shows them, by id.
    """

    lag_ms: int = 0
    actual: dict[str, dict] = attrs.field(factory=dict)
    published: dict[str, dict] = attrs.field(factory=dict)
    revision: int = 0
    changed: waiting.ChangeSignal = attrs.field(factory=waiting.ChangeSignal)

    def update(self, instances: list[dict]) -> None:
        """Add instances, or replace fields of existing ones."""
        for fields in instances:
            existing = self.actual.get(fields["id"], {})
            self.actual[fields["id"]] = existing | fields
        self._publish_later()

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        self.actual.pop(instance_id, None)
        self._publish_later()

    def view(self) -> dict:
        """Return the published list as JSON."""
        return {
            "instances": list(self.published.values()),
            "revision": self.revision,
        }

    async def wait(
        self, since: int, timeout_s: float, aborted: Callable[[], bool]
    ) -> dict:
        """Wait for a list newer than a revision, the time-out or an abort."""
        await self.changed.wait_for(
            lambda: self.revision > since or aborted(), timeout_s
        )
        return self.view()

    def _publish_later(self) -> None:
        snapshot = {key: dict(value) for key, value in self.actual.items()}
        if not self.lag_ms:
            self._publish(snapshot)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_ms / 1000, self._publish, snapshot)

    def _publish(self, snapshot: dict[str, dict]) -> None:
        if snapshot == self.published:
            return
        self.published = snapshot
        self.revision += 1
        self.changed.notify()
