"""Prompt parts of requests in flight at servers that crashed.

A crash counts for every part of a prompt, and a prompt may have thousands. The
first parts of a prompt are suspicions of their own; the others are told
together, as hashes of four bytes. Of these, only parts that several crashes
have in common become suspicions (`quarantine`).
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import suspicions
from balsamlug.messages import types

# Parts in one message; their hashes take half of the largest frame.
MAX_MESSAGE_PARTS = 8_192
# Limits the memory to about 4 MB; the oldest crashes are dropped first.
MAX_PARTS = 65_536
# Limits what a node accepts and passes on: 4 KB a second, and 64 KB at once.
PARTS_PER_S = 1_024
PARTS_AT_ONCE = 16_384


@attrs.frozen
class CrashedPrompt:
    """Parts of a prompt, and the crash of a server that was to answer it.

    Attributes:
      crash: id of the crash.
      crashed_s: monotonic time of the crash.
      packed: hashes of the parts as they were received.
    """

    crash: str
    crashed_s: float
    packed: bytes
    parts: frozenset[int]


# Crash id -> time, for each part.
Crashes = collections.defaultdict[int, dict[str, float]]


@attrs.define
class CrashedPrompts:
    """Recent crashes with the parts of prompts in flight, oldest first."""

    _prompts: list[CrashedPrompt] = attrs.field(factory=list)
    _count: int = 0
    _room: float = PARTS_AT_ONCE
    _updated_s: float = 0.0

    def __iter__(self) -> Iterator[CrashedPrompt]:
        return iter(self._prompts)

    def add(self, message: types.CrashedPrompt, now_s: float) -> bool:
        """Add the parts of a message and return whether they were new."""
        crash, packed = message.crash, message.parts
        if any(p.crash == crash and p.packed == packed for p in self._prompts):
            return False
        parts = suspicions.unpack_parts(packed)
        if not self._takes(len(parts), now_s):
            eliot.log_message(
                "crashed_prompt_dropped", crash=crash, parts=len(parts)
            )
            return False
        crashed_s = now_s - message.age_ms / clocks.MS_PER_S
        prompt = CrashedPrompt(crash, crashed_s, packed, parts)
        self._prompts.append(prompt)
        self._count += len(parts)
        while self._count > MAX_PARTS:
            self._count -= len(self._prompts.pop(0).parts)
        return True

    def message(
        self, crash: str, packed: bytes, now_s: float
    ) -> types.CrashedPrompt | None:
        """Return the message for parts that are kept, with their age."""
        for prompt in self._prompts:
            if (prompt.crash, prompt.packed) == (crash, packed):
                age_ms = int((now_s - prompt.crashed_s) * clocks.MS_PER_S)
                return types.CrashedPrompt(crash, max(0, age_ms), packed)
        return None

    def crashes(self, parts: Collection[int]) -> Crashes:
        """Return the time of each crash by its id, for each of some parts."""
        wanted = frozenset(parts)
        found: Crashes = collections.defaultdict(dict)
        for prompt in self._prompts:
            for part in prompt.parts & wanted:
                found[part][prompt.crash] = prompt.crashed_s
        return found

    def expire(self, oldest_s: float) -> None:
        """Forget crashes from before a time."""
        self._prompts = [p for p in self._prompts if p.crashed_s > oldest_s]
        self._count = sum(len(p.parts) for p in self._prompts)

    def _takes(self, parts: int, now_s: float) -> bool:
        refilled = (now_s - self._updated_s) * PARTS_PER_S
        self._room = min(PARTS_AT_ONCE, self._room + refilled)
        self._updated_s = now_s
        if parts > self._room:
            return False
        self._room -= parts
        return True


def messages(
    crash: str, age_ms: int, parts: Iterable[int]
) -> Iterator[types.CrashedPrompt]:
    """Yield the messages that tell of the parts of a prompt."""
    ordered = sorted(set(parts))
    for first in range(0, len(ordered), MAX_MESSAGE_PARTS):
        packed = suspicions.pack_parts(
            ordered[first : first + MAX_MESSAGE_PARTS]
        )
        yield types.CrashedPrompt(crash, age_ms, packed)
