"""Model of a group with continuous batching.

Every running request works off slot time at the same rate, which falls as
the batch fills. A virtual time that advances at this rate makes the end of
each request a fixed point, so events need no rescheduling.
"""

import collections
import heapq
import itertools

import attrs

# One request alone decodes 40 tokens/s, 16 together 28.6 tokens/s each.
SINGLE_RATE = 40.0
BATCH_SLOWDOWN = 40.0
# Slot time of one prompt token, in decoded tokens: 1,000 take half a second
# in a full batch.
PREFILL_COST = 0.015
CACHED_PREFIXES = 8
PREFIX_COVER = 0.7

FIRST_TOKEN = "first_token"
END = "end"


@attrs.define(eq=False)
class Job:
    """One attempt of a request at a group."""

    request_id: str
    router: int
    tokens: int
    prompt_tokens: int
    resume_from: int
    prefix_hash: str
    priority: int
    group_id: str = ""
    slot_s: float | None = None
    first_v: float = 0.0
    decoding: bool = False
    ended: bool = False
    prefilled: int = 0


@attrs.define(eq=False)
class EngineGroup:
    """Slots, a queue by priority and a prefix cache."""

    id: str
    slots: int
    up: bool = True
    generation: int = 1
    running: set[Job] = attrs.field(factory=set)
    version: int = 0
    decoded: float = 0.0
    idle_slot_s: float = 0.0
    _decoding: int = 0
    _v: float = 0.0
    _last_s: float = 0.0
    _queue: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def advance(self, now_s: float) -> None:
        """Let the running requests work until now."""
        elapsed_s = now_s - self._last_s
        if elapsed_s <= 0:
            return
        work = elapsed_s * self._rate()
        self._v += work
        self.decoded += work * self._decoding
        if self.up:
            self.idle_slot_s += elapsed_s * (self.slots - len(self.running))
        self._last_s = now_s

    def _rate(self) -> float:
        return SINGLE_RATE / (1 + len(self.running) / BATCH_SLOWDOWN)

    def submit(self, job: Job, now_s: float) -> None:
        """Run a job, or queue it when every slot is taken."""
        self.advance(now_s)
        job.group_id = self.id
        item = (job.priority, next(self._sequence), job)
        heapq.heappush(self._queue, item)
        self._fill(now_s)

    def _fill(self, now_s: float) -> None:
        while self.up and self._queue and len(self.running) < self.slots:
            job = heapq.heappop(self._queue)[2]
            if not job.ended:
                self._begin(job, now_s)
        self.version += 1

    def _begin(self, job: Job, now_s: float) -> None:
        job.slot_s = now_s
        job.prefilled = self._prefill_tokens(job)
        job.first_v = self._v + PREFILL_COST * job.prefilled
        self.running.add(job)
        self._push(job.first_v, FIRST_TOKEN, job)

    def _push(self, v: float, kind: str, job: Job) -> None:
        heapq.heappush(self._events, (v, next(self._sequence), kind, job))

    def _prefill_tokens(self, job: Job) -> int:
        prompt = job.prompt_tokens
        if job.prefix_hash in self._cache:
            prompt = int(prompt * (1 - PREFIX_COVER))
        if job.prefix_hash:
            self._cache[job.prefix_hash] = None
            self._cache.move_to_end(job.prefix_hash)
            if len(self._cache) > CACHED_PREFIXES:
                self._cache.popitem(last=False)
        return prompt + job.resume_from

    def next_event_s(self) -> float | None:
        """Return the time of the next event, None when there is none."""
        while self._events and self._events[0][3].ended:
            heapq.heappop(self._events)
        if not self._events:
            return None
        rest = max(0.0, self._events[0][0] - self._v)
        return self._last_s + rest / self._rate()

    def take_event(self, now_s: float) -> tuple[str, Job]:
        """Apply the next event and return its kind and job."""
        self.advance(now_s)
        _, _, kind, job = heapq.heappop(self._events)
        if kind == FIRST_TOKEN:
            job.decoding = True
            self._decoding += 1
            self._push(job.first_v + job.tokens - 1, END, job)
            self.version += 1
        else:
            self._leave(job, now_s)
        return kind, job

    def _leave(self, job: Job, now_s: float) -> None:
        job.ended = True
        self._decoding -= job.decoding
        self.running.discard(job)
        self._fill(now_s)

    def delivered(self, job: Job) -> int:
        """Return the tokens a job has made."""
        if not job.decoding:
            return 0
        return min(job.tokens, int(self._v - job.first_v) + 1)

    def cancel(self, job: Job, now_s: float) -> None:
        """Take a job out, running or queued."""
        self.advance(now_s)
        self._leave(job, now_s)

    def lose(self, now_s: float) -> list[Job]:
        """Stop serving and return the jobs that are lost."""
        self.advance(now_s)
        self.up = False
        waiting = [item[2] for item in self._queue if not item[2].ended]
        lost = sorted(self.running, key=lambda job: job.request_id) + waiting
        for job in lost:
            job.ended = True
        self._queue.clear()
        self.running.clear()
        self._cache.clear()
        self._decoding = 0
        self.version += 1
        return lost

    def restore(self, now_s: float) -> None:
        """Serve again, with an empty cache and a new generation."""
        self.advance(now_s)
        self.up = True
        self.generation += 1

    def queued(self) -> int:
        """Return the requests that wait in the engine."""
        return sum(not item[2].ended for item in self._queue)
