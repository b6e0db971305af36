"""Model of a group with continuous batching, for `bench.simulation`.

Every running request advances at the same rate, which falls as the batch
fills. The virtual time of a group advances at this rate, in decoded tokens.
Each request ends at a fixed virtual time, so events need no rescheduling when
the rate changes.
"""

import collections
import heapq
import itertools

import attrs

# A single request decodes 40 tokens/s, 16 concurrent ones 28.6 tokens/s each:
# the rate of each request halves at a batch of HALF_RATE_BATCH requests.
SINGLE_TOKENS_PER_S = 40.0
HALF_RATE_BATCH = 40.0
# Virtual time of one prompt token, in decoded tokens: 1,000 prompt tokens take
# half a second in a full batch.
PREFILL_COST = 0.015
CACHED_PREFIXES = 8
# Share of the prompt that a cached prefix covers.
CACHED_PREFIX_SHARE = 0.7

FIRST_TOKEN = "first_token"
END = "end"


@attrs.define(eq=False)
class Job:
    """One attempt of a request at a group.

    Attributes:
      slot_s: time at which it got a slot, None before.
      first_virtual_time: virtual time of its first token.
      prefilled: prompt and resumed tokens that were prefilled, without those
        covered by the prefix cache.
    """

    request_id: str
    router: int
    tokens: int
    prompt_tokens: int
    resume_from: int
    prefix_hash: str
    priority: int
    group_id: str = ""
    slot_s: float | None = None
    first_virtual_time: float = 0.0
    decoding: bool = False
    ended: bool = False
    prefilled: int = 0


@attrs.define(eq=False)
class EngineGroup:
    """A group with slots, a queue by priority and a prefix cache.

    Attributes:
      version: changes of the running requests. Events that were scheduled
        for an earlier version are ignored.
      decoded_tokens: tokens decoded so far.
    """

    id: str
    slots: int
    up: bool = True
    generation: int = 1
    running: set[Job] = attrs.field(factory=set)
    version: int = 0
    decoded_tokens: float = 0.0
    idle_slot_s: float = 0.0
    _decoding: int = 0
    _virtual_time: float = 0.0
    _last_s: float = 0.0
    _queue: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def advance(self, now_s: float) -> None:
        """Advance the running requests to the given time."""
        elapsed_s = now_s - self._last_s
        if elapsed_s <= 0:
            return
        decoded_per_job = elapsed_s * self._rate()
        self._virtual_time += decoded_per_job
        self.decoded_tokens += decoded_per_job * self._decoding
        if self.up:
            self.idle_slot_s += elapsed_s * (self.slots - len(self.running))
        self._last_s = now_s

    def _rate(self) -> float:
        return SINGLE_TOKENS_PER_S / (1 + len(self.running) / HALF_RATE_BATCH)

    def submit(self, job: Job, now_s: float) -> None:
        """Run a job, or queue it when every slot is in use."""
        self.advance(now_s)
        job.group_id = self.id
        item = (job.priority, next(self._sequence), job)
        heapq.heappush(self._queue, item)
        self._start_queued(now_s)

    def _start_queued(self, now_s: float) -> None:
        while self.up and self._queue and len(self.running) < self.slots:
            job = heapq.heappop(self._queue)[2]
            if not job.ended:
                self._start(job, now_s)
        self.version += 1

    def _start(self, job: Job, now_s: float) -> None:
        job.slot_s = now_s
        job.prefilled = self._prefill_tokens(job)
        job.first_virtual_time = (
            self._virtual_time + PREFILL_COST * job.prefilled
        )
        self.running.add(job)
        self._push(job.first_virtual_time, FIRST_TOKEN, job)

    def _push(self, virtual_time: float, kind: str, job: Job) -> None:
        heapq.heappush(
            self._events, (virtual_time, next(self._sequence), kind, job)
        )

    def _prefill_tokens(self, job: Job) -> int:
        prompt = job.prompt_tokens
        if job.prefix_hash in self._cache:
            prompt = int(prompt * (1 - CACHED_PREFIX_SHARE))
        if job.prefix_hash:
            self._cache[job.prefix_hash] = None
            self._cache.move_to_end(job.prefix_hash)
            if len(self._cache) > CACHED_PREFIXES:
                self._cache.popitem(last=False)
        return prompt + job.resume_from

    def next_event_s(self) -> float | None:
        """Return the time of the next event, None without events."""
        while self._events and self._events[0][3].ended:
            heapq.heappop(self._events)
        if not self._events:
            return None
        remaining = max(0.0, self._events[0][0] - self._virtual_time)
        return self._last_s + remaining / self._rate()

    def process_next_event(self, now_s: float) -> tuple[str, Job]:
        """Process the next event and return its kind and job."""
        self.advance(now_s)
        _, _, kind, job = heapq.heappop(self._events)
        if kind == FIRST_TOKEN:
            job.decoding = True
            self._decoding += 1
            self._push(job.first_virtual_time + job.tokens - 1, END, job)
            self.version += 1
        else:
            self._remove(job, now_s)
        return kind, job

    def _remove(self, job: Job, now_s: float) -> None:
        job.ended = True
        self._decoding -= job.decoding
        self.running.discard(job)
        self._start_queued(now_s)

    def generated_tokens(self, job: Job) -> int:
        """Return the number of tokens that a job has generated."""
        if not job.decoding:
            return 0
        return min(
            job.tokens, int(self._virtual_time - job.first_virtual_time) + 1
        )

    def cancel(self, job: Job, now_s: float) -> None:
        """Remove a job that runs or is queued."""
        self.advance(now_s)
        self._remove(job, now_s)

    def fail(self, now_s: float) -> list[Job]:
        """Take the group down and return the jobs that fail with it."""
        self.advance(now_s)
        self.up = False
        waiting = [item[2] for item in self._queue if not item[2].ended]
        failed = sorted(self.running, key=lambda job: job.request_id) + waiting
        for job in failed:
            job.ended = True
        self._queue.clear()
        self.running.clear()
        self._cache.clear()
        self._decoding = 0
        self.version += 1
        return failed

    def restore(self, now_s: float) -> None:
        """Bring the group up with an empty cache and a new generation."""
        self.advance(now_s)
        self.up = True
        self.generation += 1

    def queued_count(self) -> int:
        """Return the number of requests queued in the group."""
        return sum(not item[2].ended for item in self._queue)
