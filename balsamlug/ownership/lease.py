"""Lease of a fabric domain: pure functions over one node's view of it.

Times are readings of the local monotonic clock. The holder counts from a
reading taken before its write was sent, every other node from the moment it
first saw the version, which is never earlier. So the holder stops acting
before anyone else may take over, whatever the offset between the clocks.
"""

import attrs

from balsamlug import clock as clocks

DURATION_S = 6.0
RENEW_INTERVAL_S = 2.0
# A renewal that is due takes a tick and a call of the object API.
RENEWAL_SLACK_S = 0.5
# A restarted holder waits until the list has brought what its last orders
# did; an entry is listed 0.8 s after a change.
OWN_WAIT_S = 1.0
# Clocks of two machines may run apart by this share of the duration. A
# crystal drifts by less than 0.01 %; the rest covers virtual machines.
DRIFT_SHARE = 0.05
# A candidate of rank r waits r times this, so that candidates rarely race.
RANK_DELAY_S = 1.0


@attrs.frozen
class Lease:
    """Lease as stored in a domain object.

    Attributes:
      holder: node id, empty when the lease was handed back.
      epoch: raised by every change of the holder.
      renewal: raised by every write of the holder.
      operation_id: names one write, to recognise it after a lost answer.
    """

    holder: str = ""
    epoch: int = 0
    duration_ms: int = int(DURATION_S * clocks.MS_PER_S)
    renewal: int = 0
    operation_id: str = ""

    @property
    def duration_s(self) -> float:
        """Return the duration in seconds."""
        return self.duration_ms / clocks.MS_PER_S


@attrs.frozen
class LeaseView:
    """What one process knows about a lease.

    Attributes:
      seen_at_s: when it first saw this lease.
      epoch_held: epoch this process acquired itself, 0 when it holds none. A
        restarted process finds its node id in the lease but did not acquire
        that epoch.
      held_from_s: reading taken before the last confirmed write was sent.
    """

    lease: Lease
    seen_at_s: float
    epoch_held: int = 0
    held_from_s: float = 0.0


def from_value(value: dict) -> Lease:
    """Return the lease of a domain object's value."""
    raw = value.get("lease") or {}
    known = {f.name for f in attrs.fields(Lease)}
    return Lease(**{k: v for k, v in raw.items() if k in known})


def to_value(lease: Lease) -> dict:
    """Return the lease as stored."""
    return attrs.asdict(lease)


def observe(view: LeaseView | None, lease: Lease, now_s: float) -> LeaseView:
    """Return the view after a version of the object was seen."""
    if view is None:
        return LeaseView(lease, now_s)
    if lease == view.lease:
        return view
    if lease.epoch != view.epoch_held or not lease.holder:
        return LeaseView(lease, now_s)
    return attrs.evolve(view, lease=lease, seen_at_s=now_s)


def confirm(view: LeaseView | None, lease: Lease, sent_s: float) -> LeaseView:
    """Return the view after an own write is known to have taken effect.

    Args:
      sent_s: reading taken before the write was first sent.
    """
    held_from_s = sent_s
    if view is not None and view.epoch_held == lease.epoch:
        held_from_s = max(sent_s, view.held_from_s)
    return LeaseView(lease, sent_s, lease.epoch, held_from_s)


def holds(view: LeaseView | None, now_s: float) -> bool:
    """Return whether this process may act as the holder now."""
    if view is None or not view.epoch_held:
        return False
    if view.lease.epoch != view.epoch_held or not view.lease.holder:
        return False
    return now_s < held_until_s(view)


def held_until_s(view: LeaseView) -> float:
    """Return when the holder stops acting, by its own clock."""
    return view.held_from_s + view.lease.duration_s * (1 - DRIFT_SHARE)


def renewal_due(view: LeaseView, now_s: float) -> bool:
    """Return whether the holder should renew."""
    return now_s >= view.held_from_s + RENEW_INTERVAL_S


def may_take_over(view: LeaseView, rank: int, now_s: float) -> bool:
    """Return whether a candidate may try to become the holder.

    Args:
      rank: position among the candidates, 0 is the first.
    """
    wait_s = rank * RANK_DELAY_S
    if view.lease.holder:
        wait_s += view.lease.duration_s * (1 + DRIFT_SHARE)
    return now_s >= view.seen_at_s + wait_s


def missed_renewal(view: LeaseView, now_s: float) -> bool:
    """Return whether the holder should have renewed by now."""
    return now_s - view.seen_at_s >= RENEW_INTERVAL_S + RENEWAL_SLACK_S


def renewed(lease: Lease, operation_id: str) -> Lease:
    """Return the lease the holder writes to renew it."""
    return attrs.evolve(
        lease, renewal=lease.renewal + 1, operation_id=operation_id
    )


def taken(lease: Lease, node: str, operation_id: str) -> Lease:
    """Return the lease a candidate writes to take over."""
    return Lease(
        holder=node,
        epoch=lease.epoch + 1,
        renewal=lease.renewal + 1,
        operation_id=operation_id,
    )


def released(lease: Lease, operation_id: str) -> Lease:
    """Return the lease a stopping holder writes; nobody has to wait for it.

    The holder must have stopped sending orders before it writes this.
    """
    return attrs.evolve(renewed(lease, operation_id), holder="")
