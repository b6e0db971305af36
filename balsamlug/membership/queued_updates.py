"""Queue changes of the local state for the neighbours, by their type."""

import functools
import typing

from balsamlug.messages import types

if typing.TYPE_CHECKING:
    from balsamlug.membership import broadcast as broadcasts


@functools.singledispatch
def queue(message: types.Message, broadcast: "broadcasts.Broadcast") -> None:
    """Queue a change of the local state for the neighbours."""


@queue.register(types.NodeUpdate)
def _(message: types.NodeUpdate, broadcast: "broadcasts.Broadcast") -> None:
    broadcast.queue_node(message.node)


@queue.register(types.SuspicionUpdate)
def _(
    message: types.SuspicionUpdate, broadcast: "broadcasts.Broadcast"
) -> None:
    broadcast.queue_suspicion(message.fingerprint)


@queue.register(types.DomainUpdate)
def _(message: types.DomainUpdate, broadcast: "broadcasts.Broadcast") -> None:
    broadcast.queue_domain(message.domain)


@queue.register(types.InstanceUpdate)
@queue.register(types.InstanceDelta)
def _(
    message: types.InstanceUpdate | types.InstanceDelta,
    broadcast: "broadcasts.Broadcast",
) -> None:
    broadcast.queue_instances(message)


@queue.register(types.ConfigUpdate)
def _(message: types.ConfigUpdate, broadcast: "broadcasts.Broadcast") -> None:
    broadcast.announce_config()


@queue.register(types.EvacuationUpdate)
def _(
    message: types.EvacuationUpdate, broadcast: "broadcasts.Broadcast"
) -> None:
    broadcast.queue_evacuations()


@queue.register(types.StoreRead)
def _(message: types.StoreRead, broadcast: "broadcasts.Broadcast") -> None:
    broadcast.queue_store_read(message.tier)


@queue.register(types.CrashedPrompt)
def _(message: types.CrashedPrompt, broadcast: "broadcasts.Broadcast") -> None:
    broadcast.queue_crashed_prompt(message)


@queue.register(types.GroupReport)
def _(message: types.GroupReport, broadcast: "broadcasts.Broadcast") -> None:
    if broadcast.is_local(message):
        broadcast.send_local_report(message)
    else:
        broadcast.queue_report(message)
