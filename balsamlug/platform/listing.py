"""Decode the state that servers announce in the store's list and in reports."""

from collections.abc import Callable
from typing import Any

from balsamlug import encodable
from balsamlug import tables
from balsamlug.platform import figures

# The group name on the wire contains the generation, so that members of two
# generations never appear as one group.
GENERATION_SEPARATOR = "."
# Instances warm up in seconds to minutes. A longer time is taken for an error.
MAX_WARMUP_MS = 3_600_000
_STATES = {
    "ready": tables.InstanceState.LIVE,
    "draining": tables.InstanceState.LEAVING,
}


def group_name(group: str, generation: int) -> str:
    """Return the name of a group on the wire."""
    return f"{group}{GENERATION_SEPARATOR}{generation}"


def instance(name: str, entry: Any) -> dict[str, Any]:
    """Return the instance for an object of kind `servers`.

    Raises:
      LookupError, TypeError, ValueError, AttributeError: the entry is
        malformed.
    """
    check_encodable(entry)
    for field, check in _FIELDS.items():
        check(entry[field])
    domain = entry.get("Domain")
    engine = domain is not None or "Models" in entry
    kind = tables.InstanceKind.ENGINE if engine else tables.InstanceKind.SERVICE
    return {
        "id": name,
        "incarnation": incarnation(entry),
        "kind": kind,
        "address": _text(entry["Address"]),
        "fabric_domain": _domain(domain),
        "failure_domain": _text(entry["Zone"]),
        "region": "",
        "accelerators": 0,
        "state": _STATES[entry["State"]],
        "checks_orders": engine,
        "service": _text(entry["Service"]),
        "slots": _count(entry.get("BatchSlots")),
        "announcement": announcement(entry) if engine else None,
        "warmup_left_ms": round(
            figures.bounded(
                entry["WarmupLeftMs"], MAX_WARMUP_MS, "WarmupLeftMs", name
            )
        ),
    }


def check_encodable(entry: Any) -> None:
    """Check that all values in an entry or a report can be passed on.

    Raises:
      TypeError, ValueError: it is no object, or a value cannot be encoded.
    """
    if not isinstance(entry, dict):
        raise TypeError(f"expected an object, got {entry!r:.200}")
    encodable.check(entry)


def incarnation(entry: dict[str, Any]) -> str:
    """Return the incarnation in an entry or a report."""
    # `born` is the start time of the server; its id may stay the same after a
    # restart.
    return str(_count(entry.get("born")))


def announcement(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the group, staged weights and load in an entry or a report."""
    models = _items(entry.get("Models"))
    return {
        "membership": _membership(entry.get("group"), models),
        # `Staged` lists names, or objects of the same form as in `Models`.
        "staged": [_model_name(model) for model in _items(entry.get("Staged"))],
        # `Sequence` counts the orders that the server has started to execute.
        "orders": _count(entry.get("Sequence")),
        "busy": bool(entry.get("Busy", False)),
        "active": _count(entry.get("Active")),
        "queued": _count(entry.get("Queued")),
    }


def _membership(raw: Any, models: Any) -> dict[str, Any] | None:
    if raw is None or not raw.get("Name"):
        return None
    group, _, _ = raw["Name"].rpartition(GENERATION_SEPARATOR)
    loaded = [_model_name(model) for model in models]
    return {
        "group": group or raw["Name"],
        "generation": _count(raw["epoch"]),
        "rank": _count(raw["rank"]),
        "state": tables.MemberState(raw["State"]),
        "model": loaded[0] if loaded else "",
    }


def _model_name(raw: Any) -> str:
    return _text(raw if isinstance(raw, str) else raw["Name"])


def _domain(raw: Any) -> str:
    if raw is None:
        return ""
    return _text(raw) if isinstance(raw, str) else str(_integer(raw))


def _items(raw: Any) -> list:
    if raw is None:
        return []
    if not isinstance(raw, list):
        raise TypeError(f"expected an array, got {type(raw).__name__}")
    return raw


def _text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f"expected a string, got {type(raw).__name__}")
    return raw


def _number(raw: Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f"expected a number, got {type(raw).__name__}")
    return raw


def _integer(raw: Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        raise TypeError(f"expected an integer of at least 0, got {raw!r:.50}")
    return raw


def _count(raw: Any) -> int:
    return 0 if raw is None else _integer(raw)


# An entry without one of these fields was not written by a server.
_FIELDS: dict[str, Callable[[Any], Any]] = {
    "BatchSlots": _integer,
    "Sequence": _integer,
    "Version": _text,
    "WarmupLeftMs": _number,
}
