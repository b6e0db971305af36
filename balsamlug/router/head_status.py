"""Find out whether the head of a group has ended, from its status.

A successor of the head may already answer at its address. Its status then shows
another incarnation, or no group.
"""

import asyncio
import enum

import attrs

from balsamlug import exceptions
from balsamlug import state
from balsamlug import timeouts
from balsamlug.health import observations as obs
from balsamlug.ownership import groups as group_table
from balsamlug.router import scheduler as schedulers
from balsamlug.router import upstream
from balsamlug.store import decoding

# Bounds the delay before streams of an engine that does not answer are resumed
# in another group.
PROBE_TIMEOUT_S = 0.5
STATUS_PATH = "/v1/status"
MAX_STATUS_BYTES = 64 * 1024
OK = 200


class HeadState(enum.StrEnum):
    """State of the engine process that served an attempt."""

    ALIVE = "alive"
    ENDED = "ended"
    SILENT = "silent"
    # This node has no path, and no other node could tell.
    UNKNOWN = "unknown"


async def check(
    address: str,
    incarnation: str,
    connect: upstream.Connect = upstream.connect,
) -> HeadState:
    """Return the state of the incarnation that served at an address.

    A process that ends closes its streams before its listening socket, so it
    may still accept a connection and then close it without an answer.

    Args:
      incarnation: empty if it is not known. A process without a group is then
        taken for a successor.
    """
    body = bytearray()

    def collect(data: bytes) -> None:
        body.extend(data)
        if len(body) > MAX_STATUS_BYTES:
            exchange.abort()

    exchange = upstream.Exchange(collect)
    call = upstream.Call(address, "GET", STATUS_PATH, connect=connect)
    try:
        # A silent engine hides a crash, so a pause of this process must not
        # look like one.
        async with timeouts.timeout(PROBE_TIMEOUT_S):
            resp = await exchange.run(call)
    except exceptions.PathLost:
        return HeadState.UNKNOWN
    except exceptions.UpstreamUnreachable as exc:
        is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
        return HeadState.ENDED if is_refused else HeadState.SILENT
    except TimeoutError:
        return HeadState.SILENT
    if not resp.status:
        return HeadState.ENDED
    if resp.status != OK or _is_same(bytes(body), incarnation):
        return HeadState.ALIVE
    return HeadState.ENDED


def _is_same(body: bytes, incarnation: str) -> bool:
    try:
        status = obs.parse_status(decoding.decode(body))
    except exceptions.ProtocolError:
        # An unreadable status shows no successor.
        return True
    if incarnation:
        return status.incarnation == incarnation
    return bool(status.group)


@attrs.frozen
class Head:
    """Head of a group when an attempt was sent to it.

    Attributes:
      incarnation: empty if the assignment of the group is not known.
      others: addresses of the other members.
    """

    address: str
    incarnation: str = ""
    others: tuple[str, ...] = ()
    connect: upstream.Connect = upstream.connect

    async def has_ended(self) -> bool:
        """Return whether the process that served the attempt has ended."""
        found = await check(self.address, self.incarnation, self.connect)
        return found is HeadState.ENDED

    async def is_lost_alone(self) -> bool:
        """Return whether the head has ended or is silent, and others are not.

        When no member answers, the failure domain or the path to it has failed.
        """
        head, *others = await asyncio.gather(
            check(self.address, self.incarnation, self.connect),
            *(check(address, "", self.connect) for address in self.others),
        )
        answering = {HeadState.ALIVE, HeadState.ENDED}
        is_lost = head in {HeadState.ENDED, HeadState.SILENT}
        return is_lost and any(other in answering for other in others)


@attrs.define
class Heads:
    """Heads of the groups, from their stored assignments."""

    _fleet: state.FleetState
    _connect: upstream.Connect = upstream.connect
    _groups: group_table.Cache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._groups = group_table.Cache(self._fleet)

    def find(self, start: schedulers.Start) -> Head:
        """Return the head that an attempt is sent to."""
        group = self._groups.find(start.group_id)
        if group is None or group.generation != start.generation:
            return Head(start.head_address, connect=self._connect)
        others = (self._fleet.instances.get(m) for m in group.members[1:])
        return Head(
            start.head_address,
            next(iter(group.incarnations), ""),
            tuple(other.address for other in others if other is not None),
            self._connect,
        )
