"""Settings of the engine stand-in, which may change while it runs."""

import attrs


@attrs.define
class EngineSettings:
    """Speed, size and faults of an engine.

    Attributes:
      load_ms: time to load a model.
      token_interval_ms: time of one step of the whole batch.
      capacity: requests that run at once.
      prefill_ms_per_1k: prefill of a thousand characters of prompt.
      load_lag_ms: interval at which the load report is renewed.
      status_delay_ms: added to every answer of /v1/status.
      member_timeout_ms: silence of a member after which the head fails.
      draining: whether the engine reports that it is draining.
      fencing: whether orders with an old fencing number are refused.
      crash_marker: a prompt that contains it ends the process, "" for none.
      crash_after_tokens: tokens that such a prompt yields first.
      cache_blocks: blocks that fit into the prefix cache.
      event_delay_ms: time until a cache event can be read.
      event_gap_every: every n-th event is never delivered, 0 for none.
    """

    load_ms: int = 300
    token_interval_ms: float = 20.0
    capacity: int = 16
    prefill_ms_per_1k: float = 20.0
    load_lag_ms: int = 200
    status_delay_ms: int = 0
    member_timeout_ms: int = 1000
    draining: bool = False
    fencing: bool = True
    crash_marker: str = ""
    crash_after_tokens: int = 0
    cache_blocks: int = 4096
    event_delay_ms: int = 200
    event_gap_every: int = 0
