"""Dispatch the messages of neighbours to the peers component."""

import functools
import typing

from balsamlug import exceptions
from balsamlug.membership import connection
from balsamlug.membership import reconcile
from balsamlug.messages import types

if typing.TYPE_CHECKING:
    from balsamlug.membership import peers as peers_module


@functools.singledispatch
def handle(
    message: types.Message, peers: "peers_module.Peers", link: connection.Link
) -> None:
    """Handle a message of a neighbour.

    Raises:
      MessageRejected: neighbours do not send this type.
    """
    raise exceptions.MessageRejected("unexpected_type")


@handle.register(types.Heartbeat)
def _(
    message: types.Heartbeat, peers: "peers_module.Peers", link: connection.Link
) -> None:
    pass


@handle.register(types.NodeUpdate)
@handle.register(types.ConfigUpdate)
@handle.register(types.DomainUpdate)
@handle.register(types.InstanceUpdate)
@handle.register(types.SuspicionUpdate)
@handle.register(types.EvacuationUpdate)
@handle.register(types.StoreRead)
@handle.register(types.CrashedPrompt)
def _(
    message: types.Message, peers: "peers_module.Peers", link: connection.Link
) -> None:
    peers.publish(link, message)


@handle.register(types.GroupReport)
def _(
    message: types.GroupReport,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    # Received reports about this node's probes are older than the probes.
    if message.prober != peers.settings.id:
        peers.publish(link, message)


@handle.register(types.ConfigDelta)
def _(
    message: types.ConfigDelta,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    update = reconcile.apply_delta(message, peers.state)
    if update is not None:
        peers.publish(link, update)
        return
    # The node has received another version since its request.
    peers.large_values.answered(reconcile.CONFIG)
    peers.large_values.announce(link, reconcile.CONFIG, message.revision)


@handle.register(types.DomainDelta)
def _(
    message: types.DomainDelta,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    complete_update = reconcile.apply_delta(message, peers.state)
    if complete_update is not None:
        peers.publish(link, complete_update)
    elif reconcile.is_ahead(message, peers.state):
        peers.request_newer(link, reconcile.DOMAINS)


@handle.register(types.InstanceDelta)
def _(
    message: types.InstanceDelta,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    applicable = reconcile.apply_delta(message, peers.state)
    if applicable is not None:
        peers.publish(link, applicable)
    elif reconcile.is_ahead(message, peers.state):
        revision = message.revision
        peers.large_values.announce(link, reconcile.INSTANCES, revision)


@handle.register(types.Digest)
def _(
    message: types.Digest, peers: "peers_module.Peers", link: connection.Link
) -> None:
    peers.compare_digest(link, message)


@handle.register(types.Versions)
@handle.register(types.VersionsPart)
def _(
    message: reconcile.Versions,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    peers.answer_versions(link, message)


@handle.register(types.ReportRefresh)
def _(
    message: types.ReportRefresh,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    peers.apply_refresh(link, message)


@handle.register(types.ReportRequest)
def _(
    message: types.ReportRequest,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    peers.answer_reports(link, message)


@handle.register(types.PermitRequest)
@handle.register(types.PermitGrant)
def _(
    message: types.Message, peers: "peers_module.Peers", link: connection.Link
) -> None:
    peers.on_direct_message(link, message)


@handle.register(types.LeaseRefresh)
def _(
    message: types.LeaseRefresh,
    peers: "peers_module.Peers",
    link: connection.Link,
) -> None:
    peers.apply_renewals(link, message)
