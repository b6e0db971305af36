"""Decode the state that servers announce in the store's list and in reports."""

from typing import Any

from balsamlug import tables

# The group name on the wire contains the generation, so that members of two
# generations never appear as one group.
GENERATION_SEPARATOR = "."
_STATES = {
    "ready": tables.InstanceState.LIVE,
    "draining": tables.InstanceState.LEAVING,
}


def group_name(group: str, generation: int) -> str:
    """Return the name of a group on the wire."""
    return f"{group}{GENERATION_SEPARATOR}{generation}"


def instance(name: str, entry: dict[str, Any]) -> dict[str, Any]:
    """Return the instance for an object of kind `servers`.

    Raises:
      LookupError, TypeError, ValueError, AttributeError: the entry is
        malformed.
    """
    domain = entry.get("Domain")
    engine = domain is not None or "Models" in entry
    kind = tables.InstanceKind.ENGINE if engine else tables.InstanceKind.SERVICE
    return {
        "id": name,
        # `born` is the start time of the server; its id may stay the same after
        # a restart.
        "incarnation": str(entry.get("born", 0)),
        "kind": kind,
        "address": _text(entry["Address"]),
        "fabric_domain": str(domain or ""),
        "failure_domain": _text(entry["Zone"]),
        "region": "",
        "accelerators": 0,
        "state": _STATES[entry["State"]],
        "checks_orders": engine,
        "service": _text(entry["Service"]),
        "slots": _count(entry.get("BatchSlots")),
        "announcement": announcement(entry) if engine else None,
    }


def announcement(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the group, staged weights and load in an entry or a report."""
    models = entry.get("Models") or ()
    return {
        "membership": _membership(entry.get("group"), models),
        # `Staged` lists names, or objects of the same form as in `Models`.
        "staged": [_model_name(model) for model in entry.get("Staged") or ()],
        # `Sequence` counts the orders that the server has started to execute.
        "orders": _count(entry.get("Sequence")),
        "busy": bool(entry.get("Busy", False)),
        "active": _count(entry.get("Active")),
        "queued": _count(entry.get("Queued")),
    }


def _membership(raw: Any, models: Any) -> dict[str, Any] | None:
    if not raw or not raw.get("Name"):
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


def _text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f"expected a string, got {raw!r}")
    return raw


def _count(raw: Any) -> int:
    if raw is None:
        return 0
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        raise TypeError(f"expected an integer of at least 0, got {raw!r}")
    return raw
