"""Entries of a ledger object and the operations on them.

The ledger writer applies operations to a copy of an object's value and commits
the result. Operations replace entries and never change them in place, so a
shallow copy is sufficient. An operation that was already applied is recognised
by its attempt id and changes nothing, so a write whose answer was lost can be
repeated.
"""

import enum
import functools

import attrs

from balsamlug.router import ledger_keys

MAX_RESPONSE_BYTES = 16 * 1024


class EntryState(enum.StrEnum):
    """State of a claimed key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@attrs.frozen
class Response:
    """Recorded answer of a call.

    Attributes:
      body: base64 text, None when the answer was too large to retain or is
        past its retention.
    """

    status: int
    headers: dict[str, str]
    body: str | None


@attrs.frozen
class Claim:
    """Operation that reserves a key for one attempt."""

    key_hash: str
    attempt: str
    router: str
    fingerprint: str


@attrs.frozen
class Complete:
    """Operation that records the answer of an attempt."""

    key_hash: str
    attempt: str
    response: Response


@attrs.frozen
class MarkUnknown:
    """Operation that records that it is unknown whether an attempt ran."""

    key_hash: str
    attempt: str


@attrs.frozen
class Release:
    """Operation that records that an attempt did not run and never will.

    Writes an entry even when there is none: the new version of the object
    makes a delayed write of the claim fail.
    """

    key_hash: str
    attempt: str


@attrs.frozen
class Restore:
    """Operation that only makes the writer commit entries that were lost."""

    key_hash: str = ""


Operation = Claim | Complete | MarkUnknown | Release | Restore


@attrs.frozen
class Applied:
    """The operation is in effect or has nothing to change.

    A call whose claim is in effect may be dispatched.
    """


@attrs.frozen
class AlreadyClaimed:
    """The key has an entry of another attempt of the same request.

    Attributes:
      entry: the entry as stored.
    """

    entry: dict


@attrs.frozen
class RequestMismatch:
    """The key was used with a different request."""


OperationResult = Applied | AlreadyClaimed | RequestMismatch


@functools.singledispatch
def apply(operation: Operation, value: dict, now_ms: int) -> OperationResult:
    """Apply an operation to the entries of an object's value."""
    raise TypeError(type(operation).__name__)


@apply.register
def _(operation: Claim, value: dict, now_ms: int) -> OperationResult:
    claims = value.setdefault("claims", {})
    entry = claims.get(operation.key_hash)
    if entry is not None and entry["state"] != EntryState.NOT_RUN:
        return _claim_result(operation, entry)
    claims[operation.key_hash] = {
        "attempt": operation.attempt,
        "state": str(EntryState.CLAIMED),
        "router": operation.router,
        "claimed_at_ms": now_ms,
        "fingerprint": operation.fingerprint,
        "response": None,
    }
    return Applied()


@apply.register
def _(operation: Complete, value: dict, now_ms: int) -> OperationResult:
    del now_ms
    entry = _entry_of_attempt(operation, value)
    if entry is not None and entry["state"] != EntryState.DONE:
        value["claims"][operation.key_hash] = entry | {
            "state": str(EntryState.DONE),
            "response": attrs.asdict(operation.response),
        }
    return Applied()


@apply.register
def _(operation: MarkUnknown, value: dict, now_ms: int) -> OperationResult:
    del now_ms
    entry = _entry_of_attempt(operation, value)
    if entry is not None and entry["state"] == EntryState.CLAIMED:
        value["claims"][operation.key_hash] = entry | {
            "state": str(EntryState.UNKNOWN)
        }
    return Applied()


@apply.register
def _(operation: Release, value: dict, now_ms: int) -> OperationResult:
    claims = value.setdefault("claims", {})
    entry = claims.get(operation.key_hash)
    if entry is not None and not _releasable(operation, entry):
        return Applied()
    claims[operation.key_hash] = {
        "attempt": operation.attempt,
        "state": str(EntryState.NOT_RUN),
        "router": "",
        "claimed_at_ms": now_ms,
        "fingerprint": "",
        "response": None,
    }
    return Applied()


@apply.register
def _(operation: Restore, value: dict, now_ms: int) -> OperationResult:
    del operation, value, now_ms
    return Applied()


# An entry changes from a lower to a higher rank only.
_STATE_RANK = {
    EntryState.NOT_RUN: 0,
    EntryState.CLAIMED: 1,
    EntryState.UNKNOWN: 2,
    EntryState.DONE: 3,
}


def with_lost(
    claims: dict[str, dict], lost: dict[str, dict]
) -> dict[str, dict]:
    """Return entries with those that the store acknowledged and lost.

    An entry of another attempt that has run since is kept.
    """
    missing = {
        key_hash: entry
        for key_hash, entry in lost.items()
        if _is_later(entry, claims.get(key_hash))
    }
    return claims | missing if missing else claims


def _is_later(entry: dict, stored: dict | None) -> bool:
    if stored is None:
        return True
    rank, stored_rank = (
        _STATE_RANK[EntryState(item["state"])] for item in (entry, stored)
    )
    same_attempt = entry["attempt"] == stored["attempt"]
    return rank > stored_rank and (same_attempt or not stored_rank)


def remove_expired_answers(
    value: dict, now_ms: int, retention_hours: int
) -> None:
    """Remove recorded answers that are past the retention.

    The entries remain, so that a call with their keys never runs again.
    """
    oldest_ms = now_ms - retention_hours * ledger_keys.MS_PER_HOUR
    claims = value.get("claims", {})
    for key_hash, entry in claims.items():
        response = entry["response"]
        if entry["claimed_at_ms"] < oldest_ms and response:
            claims[key_hash] = entry | {"response": response | {"body": None}}


def _claim_result(operation: Claim, entry: dict) -> OperationResult:
    if entry["attempt"] == operation.attempt:
        return Applied()
    if entry["fingerprint"] != operation.fingerprint:
        return RequestMismatch()
    return AlreadyClaimed(entry)


def _releasable(operation: Release, entry: dict) -> bool:
    same_attempt = entry["attempt"] == operation.attempt
    return same_attempt and entry["state"] == EntryState.CLAIMED


def _entry_of_attempt(
    operation: Complete | MarkUnknown, value: dict
) -> dict | None:
    entry = value.get("claims", {}).get(operation.key_hash)
    if entry is None or entry["attempt"] != operation.attempt:
        return None
    return entry
