"""What the attempts of one request show about its subjects.

An attempt that has been answered for a while proves them sound. An attempt
that broke off before, at a server that has crashed, makes them suspected.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hashlib

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import quarantine as quarantines
from balsamlug import suspicions
from balsamlug.gateway import messages

# Callers choose the ids of parts. Others than these are replaced by a digest.
MAX_PART_LENGTH = 48
DIGEST_BYTES = 8
# Most checks have ended by then; others are announced to the other nodes.
CHECK_ANNOUNCED_S = 0.5
# Limits the log lines on a prompt with many parts.
MAX_LOGGED_SUBJECTS = 32


def subjects(
    fingerprint: str, prefix: Iterable[messages.PromptPart]
) -> tuple[str, ...]:
    """Return a request's fingerprint and the parts that others may share."""
    shared = tuple(prefix)[:-1]
    names = (suspicions.PART + _name(part.id) for part in shared)
    return fingerprint, *dict.fromkeys(names)


def _name(part: str) -> str:
    if len(part) <= MAX_PART_LENGTH and part.isascii() and part.isalnum():
        return part
    data = part.encode("utf-8", "replace")
    return f"#{hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()}"


@attrs.frozen
class _Server:
    """Server that runs an attempt.

    Attributes:
      name, generation: identify its crash, together with other requests'.
      has_crashed: checks whether it has ended.
    """

    name: str
    generation: int | str
    has_crashed: Callable[[], Awaitable[bool]]

    @property
    def crash_id(self) -> str:
        """Return the id of the server's crash."""
        return suspicions.crash_id(self.name, self.generation)


@attrs.define(eq=False)
class Evidence:
    """Proof or crash of each attempt of a request.

    Attributes:
      subjects: what the request may have in common with others.
      _pending: ids of crashes that are not yet confirmed.
      _began_s: time of the first event of the current attempt.
      _tests: tests that the current attempt makes.
    """

    subjects: tuple[str, ...]
    _quarantine: quarantines.Quarantine
    _clock: clocks.Clock
    _background: set[asyncio.Task]
    _pending: set[str] = attrs.field(factory=set)
    _server: _Server | None = None
    _started_s: float = 0.0
    _began_s: float | None = None
    _proven: bool = False
    _tests: list[suspicions.Name] = attrs.field(factory=list)

    def check(self) -> None:
        """Check that the request may be sent now.

        Raises:
          SuspectedRequest: one of its subjects is quarantined.
        """
        self._quarantine.check(self.subjects, self._pending)

    def admit(self) -> None:
        """Check the request immediately before it is sent.

        Raises:
          SuspectedRequest: one of its subjects is quarantined.
        """
        self.end_tests()
        self._tests = self._quarantine.admit(self.subjects, self._pending)

    def is_quarantined(self) -> bool:
        """Return whether a subject is quarantined."""
        return bool(self._quarantine.quarantined(self.subjects, self._pending))

    def start(
        self,
        name: str,
        generation: int | str,
        has_crashed: Callable[[], Awaitable[bool]],
    ) -> None:
        """Start an attempt at a server, or at the head of a group."""
        self._server = _Server(name, generation, has_crashed)
        self._started_s = self._clock.monotonic()
        self._began_s = None
        self._proven = False

    def record_event(self) -> None:
        """Record an event of the current attempt."""
        now_s = self._clock.monotonic()
        if self._began_s is None:
            self._began_s = now_s
        elif now_s - self._began_s >= quarantines.PROOF_S:
            self.record_proof()

    def record_answer(self) -> None:
        """Record that the current attempt, a call, was answered completely."""
        if self._began_s is None:
            self._began_s = self._started_s
        self.record_proof()

    def record_proof(self) -> None:
        """Record that the current attempt is complete or sound.

        A stream without an event, such as one that is resumed beyond its end,
        proves nothing.
        """
        if self._proven or self._began_s is None:
            return
        self._proven = True
        self._quarantine.record_proof(self.subjects, self._began_s)

    def end_tests(self) -> None:
        """End the tests of the last attempt unless its server is checked."""
        tests, self._tests = self._tests, []
        self._quarantine.end_tests(tests)

    def record_break(self) -> None:
        """Check in the background whether the attempt's server has crashed."""
        if self._proven or self._server is None:
            return
        self._pending.add(self._server.crash_id)
        tests, self._tests = self._tests, []
        task = asyncio.create_task(
            self._confirm(self._server, self._clock.monotonic(), tests)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _confirm(
        self, server: _Server, crashed_s: float, tests: list[suspicions.Name]
    ) -> None:
        check = asyncio.ensure_future(server.has_crashed())
        await asyncio.wait([check], timeout=CHECK_ANNOUNCED_S)
        opened: list[suspicions.Name] = []
        if not check.done():
            opened = self._quarantine.open_check(
                self.subjects, server.crash_id, crashed_s
            )
        crashed = await check
        took_s = self._clock.monotonic() - crashed_s
        eliot.log_message(
            "break_checked",
            server=server.name,
            generation=server.generation,
            crashed=crashed,
            took_ms=round(took_s * clocks.MS_PER_S),
            subjects=self.subjects[:MAX_LOGGED_SUBJECTS],
            count=len(self.subjects),
        )
        if crashed:
            # The check and the tests stay open: their ends could be received
            # before the crash.
            self._quarantine.record_crash(
                self.subjects, server.name, server.generation, crashed_s
            )
        else:
            self._quarantine.close_checks(opened)
            self._quarantine.end_tests(tests)
        self._pending.discard(server.crash_id)
