"""Bounds on what a node holds for callers that have not sent all of it.

The load that it answers: many callers that send bodies, heads or chunks almost
to their limits and keep their connections open. All functions decide on values
that they are given, without a network.
"""

from collections.abc import Iterable
import resource
from typing import Protocol

import attrs

_MIB = 1024 * 1024
# Of the memory of a machine: the process without state and callers, and state
# of the largest deployment.
PROCESS_MB = 46
STATE_MB = 90
# A complete body is held a second time when it is sent to an upstream.
COPIES = 2
# One body of the usual limit and others beside it. Callers within the limits
# send a few KB at a few requests per second, so that they hold less than a
# fiftieth of this.
MIN_BUDGET_BYTES = 6 * _MIB
MAX_BUDGET_BYTES = 24 * _MIB
DEFAULT_BUDGET_BYTES = 16 * _MIB
# A budget below one body with its read buffer could serve no such request.
MARGIN_BYTES = _MIB
# Shedding goes on to this share, so that it is not decided for every read.
SHED_TO_SHARE = 0.75
# A request that holds no more than this is ordinary, and the last to be shed.
ORDINARY_BYTES = 32 * 1024
# A request that has just begun has made no progress yet.
MIN_AGE_S = 0.05

# Descriptors for files, and those for peers, administration and the store.
FILE_DESCRIPTORS = 200
INTERNAL_DESCRIPTORS = 64 + 32 + 32
# More descriptors than this would need more memory than the budget assumes.
MAX_DESCRIPTORS = 8192
MAX_TUNNELS = 256
TUNNEL_DESCRIPTORS = 2
# One in this many of the descriptors for connections may be a tunnel.
TUNNEL_PART = 16
MIN_TUNNELS = 8
MIN_CONNECTIONS = 32

# Bytes of chunk framing, beyond a share of the length, from which a body counts
# as one in small chunks. A chunk has at least 5 such bytes and takes about 15
# us, so that a body of 4 MiB has at most 28,000 chunks before. A body of 8 KB
# may come in chunks of 6 bytes, and one of any length in chunks of 200 bytes.
FRAMING_BYTES = 8 * 1024
FRAMING_SHARE = 1 / 32
# Bodies in small chunks that are received at the same time. Each one more
# lengthens an iteration of the event loop.
MAX_SMALL_CHUNKED = 2
# A connection on which nothing was read for this time does not keep others out.
SMALL_CHUNKS_PAUSE_S = 1.0
# Chunks of 100 bytes and more have proved to be large.
LARGE_CHUNKS_SHARE = 1 / 16


class Holder(Protocol):
    """A connection that holds received bytes.

    Attributes:
      held_bytes: bytes that were received and are still held.
      progress_s: monotonic time at which its request began.
      awaited: whether that request is awaited or incomplete. Otherwise it is
        being served, and what is held belongs to the next one.
    """

    held_bytes: int
    progress_s: float
    awaited: bool


@attrs.frozen
class ReceiveLimits:
    """Bounds of one node.

    Attributes:
      budget_bytes: bytes that all incomplete and running requests may hold.
      connections: connections of callers.
      tunnels: tunnels that are served to other nodes.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES
    connections: int = 1024
    tunnels: int = MAX_TUNNELS


def derive(memory_mb: int, max_fds: int) -> ReceiveLimits:
    """Return the bounds of a machine.

    Args:
      memory_mb: memory of the machine, 0 if it is not known.
      max_fds: descriptors of the process, 0 for its own soft limit.
    """
    if max_fds <= 0:
        max_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if max_fds == resource.RLIM_INFINITY:
            max_fds = MAX_DESCRIPTORS
    sockets = min(max_fds, MAX_DESCRIPTORS) - FILE_DESCRIPTORS
    tunnels = max(MIN_TUNNELS, min(MAX_TUNNELS, sockets // TUNNEL_PART))
    # Each running request has a connection to its caller and one to an
    # upstream.
    rest = sockets - tunnels * TUNNEL_DESCRIPTORS - INTERNAL_DESCRIPTORS
    return ReceiveLimits(
        _budget_bytes(memory_mb), max(MIN_CONNECTIONS, rest // 2), tunnels
    )


def _budget_bytes(memory_mb: int) -> int:
    if memory_mb <= 0:
        return DEFAULT_BUDGET_BYTES
    spare_mb = memory_mb - PROCESS_MB - STATE_MB
    derived = spare_mb * _MIB // COPIES
    return max(MIN_BUDGET_BYTES, min(MAX_BUDGET_BYTES, derived))


def to_shed(
    holders: Iterable[Holder], excess_bytes: int, now_s: float
) -> list[Holder]:
    """Return the holders to shed so that an excess is no longer held.

    Those that have held most memory for longest come first, then those that
    hold no more than an ordinary request. Those whose request is being served
    come last, as shedding would break off its answer.
    """

    def rank(holder: Holder) -> tuple[bool, bool, float]:
        age_s = max(MIN_AGE_S, now_s - holder.progress_s)
        is_ordinary = holder.held_bytes <= ORDINARY_BYTES
        return holder.awaited, not is_ordinary, holder.held_bytes * age_s

    shed = []
    for holder in sorted(holders, key=rank, reverse=True):
        if excess_bytes <= 0 or holder.held_bytes <= 0:
            break
        excess_bytes -= holder.held_bytes
        shed.append(holder)
    return shed


def has_small_chunks(framed_bytes: int, body_bytes: int) -> bool:
    """Return whether a body has too many chunks for its length.

    Args:
      framed_bytes: parsed bytes of the body with its chunk framing.
      body_bytes: bytes of the body among them.
    """
    allowed = FRAMING_BYTES + body_bytes * FRAMING_SHARE
    return framed_bytes - body_bytes > allowed


def fits_small_chunks(others_s: Iterable[float], now_s: float) -> bool:
    """Return whether a body in small chunks is received beside others.

    A single one always is, and so are the first ones of a crowd.

    Args:
      others_s: when something of each other body in small chunks was read.
      now_s: the time.
    """
    others = sum(now_s - read_s < SMALL_CHUNKS_PAUSE_S for read_s in others_s)
    return others < MAX_SMALL_CHUNKED


def has_large_chunks(framed_bytes: int, body_bytes: int) -> bool:
    """Return whether the chunks of a body have been large until now."""
    return framed_bytes - body_bytes <= body_bytes * LARGE_CHUNKS_SHARE
