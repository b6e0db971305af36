"""Latency model of a group, based on the engine's published step times.

An engine works in passes: a pass runs a fixed number of token steps for every
running request. Prompts are prefilled between passes.
"""

import math

import attrs

from balsamlug import catalogue as catalogues

TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000


@attrs.frozen
class EngineModel:
    """Latencies of one group of a model, in milliseconds.

    Attributes:
      pace: factor on all latencies; contains the pace of the model and, for a
        slow group, its measured slowdown.
    """

    engine: catalogues.Engine
    pace: float = 1.0

    @property
    def slots(self) -> int:
        """Return the number of requests that run concurrently."""
        return self.engine.slots

    def pass_ms(self, running: int) -> float:
        """Return the duration of one pass with a number of requests."""
        engine = self.engine
        running = min(running, engine.slots)
        context_k = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
        context_k /= TOKENS_PER_K
        request_step_ms = (
            engine.request_ms + engine.context_ms_per_k * context_k
        )
        total_step_ms = engine.step_ms + running * request_step_ms
        return self.pace * engine.steps_per_pass * total_step_ms

    def prefill_ms(self, tokens: int) -> float:
        """Return the prefill time of a prompt without queueing."""
        engine = self.engine
        pairs_m = tokens * tokens / 2 / PAIRS_PER_M
        reading_ms = tokens / engine.prefill_tokens_per_ms
        return self.pace * (reading_ms + engine.pairs_ms_per_m * pairs_m)

    def last_event_ms(
        self, in_flight: int, prompt_tokens: int, answer_tokens: int
    ) -> float:
        """Return the time to the end of an answer while all slots are used."""
        engine = self.engine
        passes = math.ceil(answer_tokens / engine.steps_per_pass)
        # A slot takes a new prompt once for each usual answer that it ends.
        prompts = engine.slots * (
            1 + answer_tokens / max(1.0, engine.usual_answer_tokens)
        )
        return (
            self.slot_wait_ms(in_flight)
            + (passes + 1) * self.pass_ms(engine.slots)
            + prompts * self.prefill_ms(int(engine.usual_prompt_tokens))
            + self.prefill_ms(prompt_tokens)
        )

    def request_ms(self, running: int | None = None) -> float:
        """Return how long a typical request occupies a slot.

        Args:
          running: requests that run at once; by default, the group is full.
        """
        engine = self.engine
        running = engine.slots if running is None else running
        passes = engine.usual_answer_tokens / engine.steps_per_pass
        prefill = self.prefill_ms(int(engine.usual_prompt_tokens))
        return passes * self.pass_ms(running) + prefill

    def slot_wait_ms(self, in_flight: int) -> float:
        """Return how long one additional request waits for a slot."""
        ahead = in_flight + 1 - self.slots
        return max(0, ahead) * self.request_ms() / self.slots

    def first_event_ms(self, in_flight: int, prompt_tokens: int) -> float:
        """Return the time to the first event of one additional request."""
        pass_ms = self.pass_ms(in_flight + 1)
        reading_ms = self.prefill_ms(prompt_tokens)
        # A request is admitted between two passes, on average half a pass after
        # its arrival, and sends its first event after the next pass.
        return self.slot_wait_ms(in_flight) + 1.5 * pass_ms + reading_ms
