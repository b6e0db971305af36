"""Guards against requests with one prompt part that crash server after server.

All of them differ in their body and their other parts, so nothing but the
shared part says that they belong together.
"""

import asyncio
import contextlib
import functools
import itertools
import random
import time

import attrs
import pytest
from tornado import httpclient

from balsamlug_standins import members
from tests.entry import fleet as fleets

# The platform's StableWindowMs, in s.
STABLE_WINDOW_S = 3.0
# Crashes and later arrivals that the platform's rules allow.
ALLOWED_CRASHES = 5
ALLOWED_LATE_ARRIVALS = 3
# Requests of each kind that the rules need for a comparison.
MIN_COMPARED = 20
BEGIN_RATIO = 0.5

# Three groups a node and spares: more groups than the rules allow crashes.
ENGINES = 20
NODES = 3
FIRST_PART, BAD_PART = "5c1e07a2", "91bd3f06"
SOUND = "sound"
POISONOUS = "poisonous"
# Time between two requests; three or more of each arrive in a second.
SOUND_INTERVAL_S = 0.1
POISONOUS_INTERVAL_S = 0.3
BEFORE_S = 4.0
COMPARED_S = 5.0
# Bound of the whole scenario, also if crashes go on without reaching five.
MAX_POISONED_S = 30.0


@attrs.define
class _Site:
    """A fleet under requests of both kinds, and the times of the requests.

    Attributes:
      shared: parts that all requests have after the first one.
    """

    fleet: fleets.Fleet
    rng: random.Random
    shared: list[str] = attrs.field(factory=list)
    sent: dict[str, float] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def send_for_ever(self, kind: str, interval_s: float) -> None:
        while True:
            task = asyncio.create_task(self._send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))

    def cancel(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send(self, kind: str) -> None:
        name = f"{kind}-{next(self._numbers)}"
        self.sent[name] = time.monotonic()
        # A node closes the connection if a stream that began cannot go on.
        with contextlib.suppress(OSError, httpclient.HTTPError):
            await self.fleet.send_request(
                self.rng.randrange(NODES),
                name,
                body=self.rng.randbytes(20).hex().encode(),
                **{"X-Prefix-Hash": self._prefix(kind)},
            )

    def _prefix(self, kind: str) -> str:
        middle = [self._part() for _ in range(self.rng.randrange(2))]
        if kind == POISONOUS:
            middle.insert(self.rng.randrange(len(middle) + 1), BAD_PART)
        parts = [FIRST_PART, *self.shared, *middle, self._part()]
        return ",".join(f"{part}:50" for part in parts)

    def _part(self) -> str:
        return self.rng.randbytes(4).hex()

    def crashes(self) -> list[float]:
        servers = self.fleet.servers.values()
        return sorted(time_s for s in servers for time_s in s.crashes)

    def bound_s(self) -> float:
        """Return the time of the fifth crash, or the last if there are less."""
        return self.crashes()[:ALLOWED_CRASHES][-1]

    def poisonous_arrivals(self) -> list[float]:
        servers = self.fleet.servers.values()
        arrivals = (arrival for s in servers for arrival in s.arrivals)
        return [t for t, name in arrivals if name.startswith(POISONOUS)]

    def sound_share(self, from_s: float, until_s: float) -> float:
        """Return the share of sound requests of a time that began to run."""
        started = {
            name
            for s in self.fleet.servers.values()
            for name in s.started_attempts
        }
        sent = [
            name
            for name, sent_s in self.sent.items()
            if name.startswith(SOUND) and from_s <= sent_s < until_s
        ]
        assert len(sent) >= MIN_COMPARED
        return len(started.intersection(sent)) / len(sent)


async def _play(site: _Site) -> tuple[float, float]:
    """Send requests and return the sound shares before and afterwards."""
    await site.fleet.ready()
    started_s = time.monotonic()
    senders = [asyncio.create_task(site.send_for_ever(SOUND, SOUND_INTERVAL_S))]
    await asyncio.sleep(BEFORE_S)
    poisoned_s = time.monotonic()
    senders.append(
        asyncio.create_task(site.send_for_ever(POISONOUS, POISONOUS_INTERVAL_S))
    )
    await site.fleet.until(lambda: bool(site.crashes()))
    while time.monotonic() < min(
        site.bound_s() + 2 * STABLE_WINDOW_S + COMPARED_S,
        poisoned_s + MAX_POISONED_S,
    ):
        await asyncio.sleep(0.1)
    ended_s = time.monotonic()
    # The last requests have this time to begin.
    await asyncio.sleep(0.5)
    for sender in senders:
        sender.cancel()
    site.cancel()
    before = site.sound_share(started_s, poisoned_s - 0.5)
    after = site.sound_share(site.bound_s() + 2 * STABLE_WINDOW_S, ended_s)
    return before, after


@pytest.mark.parametrize(
    ("restarts_renamed", "sends_head"), [(False, True), (True, False)]
)
def test_parts_that_crash_servers_are_quarantined_and_sound_requests_are_not(
    restarts_renamed, sends_head
):
    _check(restarts_renamed, sends_head, shared=[])


def test_part_far_back_in_a_prompt_is_quarantined_and_sound_requests_are_not():
    _check(False, True, shared=[f"{number:08x}" for number in range(300)])


def _check(restarts_renamed: bool, sends_head: bool, shared: list[str]) -> None:
    async def main() -> None:
        async with fleets.running(
            ENGINES,
            NODES,
            create_member=functools.partial(
                members.Member,
                bad_parts=frozenset({BAD_PART}),
                restarts_renamed=restarts_renamed,
                sends_head=sends_head,
            ),
        ) as fleet:
            site = _Site(fleet, random.Random(1), shared)
            before, after = await _play(site)
            bound_s = site.bound_s() + STABLE_WINDOW_S
            late = [t for t in site.poisonous_arrivals() if t > bound_s]
            seen = (
                f"{len(site.crashes())} crashes, {len(late)} late arrivals,"
                f" sound requests that began: {before:.2f}, then {after:.2f}"
            )
            if len(site.crashes()) >= ALLOWED_CRASHES:
                assert len(late) <= ALLOWED_LATE_ARRIVALS, seen
            assert after >= BEGIN_RATIO * before, seen

    asyncio.run(main())
