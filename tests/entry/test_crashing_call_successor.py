"""Guards against crashes that are not counted since a successor answers."""

import asyncio
import time

import attrs
import pytest

from tests.entry import plain_calls

NODES = 2
INSTANCES = 3
TARGET_MS = 200
CRASHING, SOUND = "/calc/crash", "/calc/sound"
SEND_INTERVAL_S = 0.1
PLAYED_S = 13.0
# The platform's StableWindowMs, in s, and the late arrivals that it allows.
STABLE_WINDOW_S = 3.0
ALLOWED_CRASHES = 3
ALLOWED_LATE_ARRIVALS = 3
# Share of the sound calls that are served, from the time on at which the
# crashing one must be refused.
SERVED_SHARE = 0.9


@attrs.define
class _Site:
    """A fleet with a plain service, and the answers to sound calls."""

    plain: plain_calls.PlainFleet
    # Time and status of each sound call.
    sound: list[tuple[float, int]] = attrs.field(factory=list)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)

    def send(self, target: str) -> None:
        coro = self._send(target, len(self._tasks))
        self._tasks.append(asyncio.create_task(coro))

    async def _send(self, target: str, number: int) -> None:
        sent_s = time.monotonic()
        resp = await self.plain.call(target, number)
        if target == SOUND:
            self.sound.append((sent_s, resp.code))

    def crashes(self) -> list[float]:
        return sorted(t for s in self.plain.servers for t in s.crashes)

    def late_arrivals(self, since_s: float) -> int:
        return sum(
            target == CRASHING and time_s > since_s
            for server in self.plain.servers
            for time_s, target in server.arrivals
        )

    def served_share(self, since_s: float) -> float:
        codes = [code for sent_s, code in self.sound if sent_s > since_s]
        return codes.count(200) / len(codes)


@pytest.mark.parametrize(
    ("down_s", "renamed", "dark"),
    [
        (0.02, True, False),
        (0.02, False, False),
        (0.3, True, False),
        (1.2, True, False),
        (0.3, False, True),
        (2.0, True, True),
    ],
)
def test_call_whose_crashed_instances_have_successors_is_refused(
    down_s, renamed, dark
):
    async def scenario() -> None:
        async with plain_calls.running(
            NODES,
            INSTANCES,
            TARGET_MS,
            crashing_target=CRASHING,
            down_s=down_s,
            renamed=renamed,
            dark=dark,
        ) as plain:
            calls = _Site(plain)
            for _ in range(int(PLAYED_S / SEND_INTERVAL_S)):
                calls.send(CRASHING)
                calls.send(SOUND)
                await asyncio.sleep(SEND_INTERVAL_S)
            crashes = calls.crashes()
            assert len(crashes) >= ALLOWED_CRASHES
            since_s = crashes[ALLOWED_CRASHES - 1] + STABLE_WINDOW_S
            late = calls.late_arrivals(since_s)
            served = calls.served_share(since_s)
            seen = f"{len(crashes)} crashes, {late} late, {served:.2f} served"
            assert late <= ALLOWED_LATE_ARRIVALS, seen
            assert served >= SERVED_SHARE, seen

    asyncio.run(scenario())
