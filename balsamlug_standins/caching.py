"""Prefix cache of the engine stand-in and the cache events it publishes."""

import collections
import hashlib
import time

import attrs

from balsamlug_standins import engine_settings

BLOCK_CHARACTERS = 64


@attrs.define
class PrefixCache:
    """LRU cache of prompt blocks, each named by the hash of its prefix.

    Attributes:
      events: pairs of the monotonic time when an event becomes readable and
        the event.
      imported: exports of other engines' KV caches, by request id.
      sequence: sequence number of the last event.
    """

    settings: engine_settings.EngineSettings
    blocks: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    events: list[tuple[float, dict]] = attrs.field(factory=list)
    imported: dict[str, dict] = attrs.field(factory=dict)
    sequence: int = 0

    def store_prompt(self, request_id: str, prompt: str) -> int:
        """Store a prompt and return how many characters were not cached."""
        cached_blocks = self._store_blocks(prompt)
        if request_id in self.imported:
            return 0
        return max(0, len(prompt) - cached_blocks * BLOCK_CHARACTERS)

    def read_events(self, since: int) -> dict:
        """Return the readable events after a sequence number."""
        now_s = time.monotonic()
        readable = [
            event
            for readable_at_s, event in self.events
            if event["sequence"] > since and readable_at_s <= now_s
        ]
        last = readable[-1]["sequence"] if readable else since
        return {"events": readable, "next": last}

    def cached_tokens(self) -> int:
        """Return the size of the cache, counting one token per character."""
        return len(self.blocks) * BLOCK_CHARACTERS

    def clear(self) -> None:
        """Remove all blocks and imports; loading other weights voids them."""
        for block in list(self.blocks):
            self._record_event("removed", block)
        self.blocks.clear()
        self.imported.clear()

    def _store_blocks(self, prompt: str) -> int:
        """Store the blocks of a prompt and return how many were cached."""
        hits = 0
        for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
            digest = hashlib.sha256(prompt[:end].encode()).hexdigest()[:16]
            if digest in self.blocks:
                hits += 1
            else:
                self._record_event("stored", digest)
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.settings.cache_blocks:
            digest, _ = self.blocks.popitem(last=False)
            self._record_event("removed", digest)
        return hits

    def _record_event(self, kind: str, block: str) -> None:
        self.sequence += 1
        every = self.settings.event_gap_every
        if every and self.sequence % every == 0:
            return
        readable_at_s = time.monotonic() + self.settings.event_delay_ms / 1000
        event = {"sequence": self.sequence, "kind": kind, "block": block}
        self.events.append((readable_at_s, event))
