"""Times of a group, from the engine's published step times.

A pass runs a fixed number of token steps for every running request, and
reads prompts between them.
"""

import attrs

from balsamlug import catalogue as catalogues

TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000


@attrs.frozen
class EngineModel:
    """Times of one group of a model, in milliseconds."""

    engine: catalogues.Engine
    pace: float = 1.0

    @property
    def slots(self) -> int:
        """Return how many requests run at once."""
        return self.engine.slots

    def pass_ms(self, running: int) -> float:
        """Return the time of one pass with a number of requests."""
        engine = self.engine
        running = min(running, engine.slots)
        context_k = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
        context_k /= TOKENS_PER_K
        each = engine.request_ms + engine.context_ms_per_k * context_k
        step = engine.step_ms + running * each
        return self.pace * engine.steps_per_pass * step

    def prefill_ms(self, tokens: int) -> float:
        """Return the time to read a prompt that nothing else waits behind."""
        engine = self.engine
        pairs_m = tokens * tokens / 2 / PAIRS_PER_M
        reading = tokens / engine.prefill_tokens_per_ms
        return self.pace * (reading + engine.pairs_ms_per_m * pairs_m)

    def request_ms(self) -> float:
        """Return how long a usual request holds a slot of a full group."""
        engine = self.engine
        passes = engine.usual_answer_tokens / engine.steps_per_pass
        prefill = self.prefill_ms(int(engine.usual_prompt_tokens))
        return passes * self.pass_ms(engine.slots) + prefill

    def slot_wait_ms(self, present: int) -> float:
        """Return how long one more request waits for a slot."""
        before = present + 1 - self.slots
        return max(0, before) * self.request_ms() / self.slots

    def first_event_ms(self, present: int, prompt_tokens: int) -> float:
        """Return the time to the first event of one more request."""
        pass_ms = self.pass_ms(present + 1)
        reading = self.prefill_ms(prompt_tokens)
        # It is admitted between two passes and answers after the next one.
        return self.slot_wait_ms(present) + 1.5 * pass_ms + reading
