"""Lease of a fabric domain, as pure functions over one node's view of it.

The lease holder is the only node that plans the groups of a domain and sends
orders to its engines. The lease is a part of the domain object in the store.

Times are readings of the local monotonic clock. The holder measures the lease
from a reading taken before its write was sent. Every other node measures it
from the moment it first received the version, which is never earlier. So the
holder stops acting before another node may take over, whatever the offset
between their clocks.
"""

import attrs

from balsamlug import clock as clocks

DURATION_S = 6.0
RENEW_INTERVAL_S = 2.0
# Time for a due renewal: one tick of the manager and one object API call.
RENEWAL_SLACK_S = 0.5
# A restarted holder waits until the instance list shows the effects of the
# orders it sent before the restart. A change is listed after 0.8 s.
RESTARTED_HOLDER_WAIT_S = 1.0
# Allowed drift between the clocks of two machines, as a fraction of the lease
# duration. A quartz crystal drifts by less than 0.01 %; the rest covers
# virtual machines.
MAX_CLOCK_DRIFT_FRACTION = 0.05
# A candidate of rank r waits r times this delay, so that candidates rarely
# compete for the same lease.
RANK_DELAY_S = 1.0
# When the store is restored from a copy, epochs that were used since the copy
# are lost. The next epoch skips this many for each restoration: more than the
# changes of a holder that can have been lost.
EPOCHS_PER_ERA = 2**10


@attrs.frozen
class Lease:
    """Lease as stored in a domain object.

    Attributes:
      holder: node id, empty when the lease was released.
      epoch: increases with every change of the holder.
      renewal: incremented by every write of the holder.
      operation_id: identifies one write, so that the writer recognises it
        after the response was lost.
      era: era of the store that the writer knew, None if it recorded none.
    """

    holder: str = ""
    epoch: int = 0
    duration_ms: int = int(DURATION_S * clocks.MS_PER_S)
    renewal: int = 0
    operation_id: str = ""
    era: int | None = None

    @property
    def duration_s(self) -> float:
        """Return the duration in seconds."""
        return self.duration_ms / clocks.MS_PER_S


@attrs.frozen
class LeaseView:
    """State of a lease as one process has observed it.

    Attributes:
      seen_at_s: when the process first received this lease.
      epoch_held: epoch that this process acquired, 0 when it holds none. A
        restarted process finds its node id in the lease but did not acquire
        that epoch.
      held_from_s: reading taken before the last confirmed write was sent.
      era: era in which the store holds the domain object.
    """

    lease: Lease
    seen_at_s: float
    epoch_held: int = 0
    held_from_s: float = 0.0
    era: int = 0

    @property
    def is_restored(self) -> bool:
        """Return whether the store may have lost a later lease."""
        return self.lease.era is not None and self.lease.era < self.era


def from_value(value: dict) -> Lease:
    """Return the lease from the value of a domain object."""
    raw = value.get("lease") or {}
    known = {f.name for f in attrs.fields(Lease)}
    return Lease(**{k: v for k, v in raw.items() if k in known})


def to_value(lease: Lease) -> dict:
    """Return the lease as it is stored in a domain object."""
    return attrs.asdict(lease)


def observe(
    view: LeaseView | None, lease: Lease, now_s: float, era: int = 0
) -> LeaseView:
    """Return the view after a version of the domain object was received.

    Args:
      era: era of the store in that version. In a later era the wait for the
        end of the lease starts again, because a lost lease may be later.
    """
    if view is None:
        return LeaseView(lease, now_s, era=era)
    if era > view.era:
        view = attrs.evolve(view, seen_at_s=now_s, era=era)
    if lease == view.lease:
        return view
    if lease.epoch != view.epoch_held or not lease.holder:
        return LeaseView(lease, now_s, era=view.era)
    return attrs.evolve(view, lease=lease, seen_at_s=now_s)


def confirm(
    view: LeaseView | None, lease: Lease, sent_s: float, era: int = 0
) -> LeaseView:
    """Return the view after a write of this process was confirmed.

    Args:
      sent_s: reading taken before the write was first sent.
      era: era of the store in which the write is known to be stored.
    """
    held_from_s = sent_s
    if view is not None and view.epoch_held == lease.epoch:
        held_from_s = max(sent_s, view.held_from_s)
    return LeaseView(lease, sent_s, lease.epoch, held_from_s, era)


def holds(view: LeaseView | None, now_s: float) -> bool:
    """Return whether this process may act as the holder now."""
    if view is None or not view.epoch_held:
        return False
    if view.lease.epoch != view.epoch_held or not view.lease.holder:
        return False
    return now_s < held_until_s(view)


def held_until_s(view: LeaseView) -> float:
    """Return when the holder stops acting, by its local clock."""
    return view.held_from_s + view.lease.duration_s * (
        1 - MAX_CLOCK_DRIFT_FRACTION
    )


def is_renewal_due(view: LeaseView, now_s: float) -> bool:
    """Return whether the holder should renew."""
    return now_s >= view.held_from_s + RENEW_INTERVAL_S


def may_take_over(view: LeaseView, rank: int, now_s: float) -> bool:
    """Return whether a candidate may try to acquire the lease.

    Args:
      rank: position among the candidates, 0 for the first.
    """
    wait_s = rank * RANK_DELAY_S
    if view.lease.holder or view.is_restored:
        wait_s += view.lease.duration_s * (1 + MAX_CLOCK_DRIFT_FRACTION)
    return now_s >= view.seen_at_s + wait_s


def is_renewal_overdue(view: LeaseView, now_s: float) -> bool:
    """Return whether a renewal by the holder is overdue."""
    return now_s - view.seen_at_s >= RENEW_INTERVAL_S + RENEWAL_SLACK_S


def renewed(lease: Lease, operation_id: str, era: int = 0) -> Lease:
    """Return the lease that the holder writes to renew it.

    Args:
      era: era of the store; in a later one than that of the lease, the epoch
        exceeds all that may have been lost.
    """
    return attrs.evolve(
        lease,
        epoch=lease.epoch + _skipped_epochs(lease, era),
        renewal=lease.renewal + 1,
        operation_id=operation_id,
        era=era,
    )


def acquired(lease: Lease, node: str, operation_id: str, era: int = 0) -> Lease:
    """Return the lease that a candidate writes to take over."""
    return Lease(
        holder=node,
        epoch=lease.epoch + 1 + _skipped_epochs(lease, era),
        renewal=lease.renewal + 1,
        operation_id=operation_id,
        era=era,
    )


def _skipped_epochs(lease: Lease, era: int) -> int:
    if lease.era is None:
        return 0
    return EPOCHS_PER_ERA * max(0, era - lease.era)


def released(lease: Lease, operation_id: str, era: int = 0) -> Lease:
    """Return the lease that a holder writes to release it.

    Candidates need not wait until a released lease expires.

    The holder must have stopped sending orders before it writes the release.
    """
    return attrs.evolve(renewed(lease, operation_id, era), holder="")
