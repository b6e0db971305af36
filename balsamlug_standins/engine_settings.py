"""Settings of the engine stand-in, which can change while it runs."""

import attrs


@attrs.define
class EngineSettings:
    """Speed, capacity and faults of an engine.

    Attributes:
      load_ms: time to load the weights of a model.
      token_interval_ms: time of one step of the complete batch.
      capacity: requests that run at once.
      prefill_ms_per_1k: prefill time per 1,000 characters of the prompt.
      load_lag_ms: interval at which the load report is updated.
      status_delay_ms: delay added to each response of /v1/status.
      member_timeout_ms: time without a response from a member after which the
        head fails all requests.
      draining: whether the engine reports that it is draining.
      fencing: whether orders with an outdated fencing number are refused.
      crash_marker: text in a prompt that makes the process exit, "" for none.
      crash_after_tokens: tokens that such a prompt produces before the exit.
      cache_blocks: capacity of the prefix cache in blocks.
      event_delay_ms: time until a cache event becomes readable.
      event_gap_every: every n-th cache event is dropped, 0 for none.
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
