"""Probe engine instances over HTTP at fixed intervals."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping

import attrs
from tornado import httpclient

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.health import observations as obs

PROBE_INTERVAL_S = 0.5
# Instances in no group change slowly; less frequent probes save CPU time.
SPARE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0


@attrs.frozen
class Target:
    """An instance to probe."""

    instance: str
    address: str
    interval_s: float = PROBE_INTERVAL_S


class Prober:
    """Probe the instances this node is responsible for.

    Args:
      fetch: returns the status body of an engine address.
      on_change: called with the instance id when a probe changed its state.
    """

    def __init__(
        self,
        fetch: Callable,
        clock: clocks.Clock,
        on_change: Callable[[str], None] = lambda instance: None,
    ) -> None:
        self._fetch = fetch
        self._clock = clock
        self._on_change = on_change
        self._targets: dict[str, Target] = {}
        self._due_s: dict[str, float] = {}
        self._probes: set[asyncio.Task] = set()
        self.observations: obs.Observations = {}

    def set_targets(self, targets: Mapping[str, Target]) -> None:
        """Replace the probed instances; remove observations of the others."""
        self._targets = dict(targets)
        for instance in self.observations.keys() - self._targets.keys():
            del self.observations[instance]
        for instance in self._due_s.keys() - self._targets.keys():
            del self._due_s[instance]

    def address(self, instance: str) -> str:
        """Return the address of a target, empty if it is not probed."""
        target = self._targets.get(instance)
        return target.address if target is not None else ""

    def tick(self) -> list[asyncio.Task]:
        """Start the probes that are due, and return them."""
        now_s = self._clock.monotonic()
        started = []
        for target in self._targets.values():
            if now_s < self._due_s.get(target.instance, 0.0):
                continue
            self._due_s[target.instance] = now_s + target.interval_s
            started.append(asyncio.create_task(self._probe(target)))
        self._probes.update(started)
        for task in started:
            task.add_done_callback(self._probes.discard)
        return started

    async def stop(self) -> None:
        """Cancel the probes in flight."""
        for task in self._probes:
            task.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)

    async def _probe(self, target: Target) -> None:
        sent_at_s = self._clock.monotonic()
        result = await self._fetch_status(target)
        if self._targets.get(target.instance) is None:
            return
        before = self.observations.get(target.instance, obs.Observation())
        if isinstance(result, obs.Failure):
            after = before.failed(result, sent_at_s)
        else:
            after = before.answered(result, sent_at_s)
        self.observations[target.instance] = after
        if _readiness_key(after) != _readiness_key(before):
            self._on_change(target.instance)

    async def _fetch_status(
        self, target: Target
    ) -> obs.EngineStatus | obs.Failure:
        try:
            status = obs.parse_status(await self._fetch(target.address))
        except ConnectionRefusedError:
            return obs.Failure.REFUSED
        except (httpclient.HTTPError, OSError) as exc:
            return _failure(exc)
        except (exceptions.ProtocolError, ValueError):
            return obs.Failure.WRONG_ANSWER
        # After a restart another instance may listen on this address.
        if status.instance != target.instance:
            return obs.Failure.WRONG_ANSWER
        return status


def _failure(exc: Exception) -> obs.Failure:
    """Return whether a failed probe had a wrong answer or none.

    Tornado reports a time-out and a closed connection as status 599.
    """
    if isinstance(exc, httpclient.HTTPClientError) and exc.code != 599:
        return obs.Failure.WRONG_ANSWER
    return obs.Failure.SILENT


def _readiness_key(observation: obs.Observation) -> tuple:
    """Return the fields that affect readiness.

    The load is left out, since it changes all the time.
    """
    status = observation.status
    if status is None:
        return (observation.failure,)
    stable = attrs.evolve(status, load=obs.Load(), load_age_ms=0)
    return observation.failure, stable
