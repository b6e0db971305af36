"""Check a catalogue for faults that decoding does not find.

All checks are pure functions of the catalogue, so they need no network.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import Any

import attrs

from balsamlug import catalogue as catalogues


class Severity(enum.StrEnum):
    """Weight of a finding."""

    # A part of the configuration cannot work as written.
    ERROR = "error"
    # A part has no effect, or one that is rarely meant.
    WARNING = "warning"
    # Difference from the version in force; no fault.
    CHANGE = "change"


@attrs.frozen
class Finding:
    """One finding.

    Attributes:
      code: stable name for programs.
      entry: part of the catalogue, such as "route chat".
      message: sentence for people; it never contains a key of a customer.
    """

    code: str
    severity: Severity
    entry: str
    message: str


@attrs.frozen
class CallerTerms:
    """What is known of the callers beside the catalogue.

    Attributes:
      max_wait_ms: longest time that a caller waits, None if unknown.
    """

    max_wait_ms: int | None = None


Found = Iterator[Finding]
_SECTIONS = {"route": "routes", "service": "services", "customer": "customers"}
_KEYS = "keys"


def _error(code: str, entry: str, message: str) -> Finding:
    return Finding(code, Severity.ERROR, entry, message)


def _warning(code: str, entry: str, message: str) -> Finding:
    return Finding(code, Severity.WARNING, entry, message)


def check(
    catalogue: catalogues.Catalogue, terms: CallerTerms | None = None
) -> list[Finding]:
    """Return the errors and warnings of a catalogue, in order of the checks."""
    found = (run(catalogue, terms or CallerTerms()) for run in _CHECKS)
    return [finding for findings in found for finding in findings]


def _names(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    named = {
        label: [item.name for item in getattr(catalogue, section)]
        for label, section in _SECTIONS.items()
    }
    engines = [engine for _, engine in catalogue.engines()]
    named["model"] = [model.name for e in engines for model in e.models]
    for label, names in named.items():
        for name in _repeated(names):
            yield _error(
                "duplicate_name",
                f"{label} {name}",
                f"the name is used by more than one {label}",
            )


def _matches(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    first: dict[tuple[str, str], str] = {}
    for route in catalogue.routes:
        entry = f"route {route.name}"
        if not route.host or ":" in route.host or "/" in route.host:
            yield _error(
                "unmatchable_route",
                entry,
                f"{route.host!r} is not a host name without a port",
            )
        if not route.prefix.startswith("/") or "?" in route.prefix:
            yield _error(
                "unmatchable_route",
                entry,
                f"no path starts with {route.prefix!r}",
            )
        key = route.host.lower(), route.prefix
        other = first.setdefault(key, route.name)
        if other != route.name:
            yield _error(
                "shadowed_route",
                entry,
                f"route {other} has the same host and prefix and is used",
            )


def _targets(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    used = set()
    for route in catalogue.routes:
        entry = f"route {route.name}"
        if not any(target.weight for target in route.targets):
            yield _error(
                "no_weight",
                entry,
                f"all weights are 0; service {route.targets[0].service} gets"
                " all requests",
            )
        for target in route.targets:
            used.add(target.service)
            if catalogue.service(target.service) is None:
                yield _error(
                    "unknown_service",
                    entry,
                    f"service {target.service} is not declared",
                )
            if target.weight < 0:
                yield _error(
                    "invalid_value",
                    entry,
                    f"the weight of service {target.service} is negative",
                )
    for service in catalogue.services:
        if service.name not in used:
            yield _warning(
                "unused_service",
                f"service {service.name}",
                "no route leads to it",
            )


def _customer_keys(
    catalogue: catalogues.Catalogue, terms: CallerTerms
) -> Found:
    holders: dict[str, str] = {}
    for customer in catalogue.customers:
        entry = f"customer {customer.name}"
        if not customer.keys:
            yield _warning("no_key", entry, "no request can be of it")
        # Requests without a key have the empty one.
        if "" in customer.keys:
            yield _error(
                "empty_key", entry, "requests without a key would be of it"
            )
        for other in _other_holders(customer, holders):
            yield _error(
                "shared_key", entry, f"it shares a key with customer {other}"
            )
    private = [route for route in catalogue.routes if not route.public]
    if private and not catalogue.customers:
        yield _warning(
            "no_customers",
            f"route {private[0].name}",
            "with an empty list of customers, no key is accepted"
            if catalogue.needs_keys
            else "without customers, routes that are not public need no key",
        )


def _other_holders(
    customer: catalogues.Customer, holders: dict[str, str]
) -> list[str]:
    """Return the customers that hold a key of this one; add its keys."""
    known = (holders.setdefault(key, customer.name) for key in customer.keys)
    return sorted(set(known) - {customer.name})


def _times(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    for route in catalogue.routes:
        entry = f"route {route.name}"
        timeout = f"the timeout of {route.timeout_ms} ms"
        if route.timeout_ms < 1:
            yield _error("invalid_value", entry, f"{timeout} is not positive")
        for text, target_ms in (
            ("target", route.target_ms),
            ("gap target", route.gap_ms),
        ):
            if target_ms > route.timeout_ms:
                yield _error(
                    "target_over_timeout",
                    entry,
                    f"the {text} of {target_ms} ms is over {timeout}",
                )
        wait_ms = terms.max_wait_ms
        if wait_ms is not None and route.timeout_ms > wait_ms:
            yield _warning(
                "timeout_over_wait",
                entry,
                f"{timeout} is over the {wait_ms} ms that callers wait",
            )


def _repeats(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    # The gateway takes a request of a resumable route for one that may run
    # twice, whatever the kind of the route.
    for route in catalogue.routes:
        if (
            route.resumable
            and route.kind is catalogues.RouteKind.NON_IDEMPOTENT
        ):
            yield _error(
                "resumable_call",
                f"route {route.name}",
                "calls that must not run twice would be repeated",
            )


def _engines(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    for name, engine in catalogue.engines():
        entry = f"service {name}"
        if not engine.models:
            yield _error("no_model", entry, "its engine has no model")
        faults = [
            (engine.slots < 1, "the number of slots is below 1"),
            (engine.step_ms <= 0, "the time of a step is not positive"),
            (
                engine.prefill_tokens_per_ms <= 0,
                "the prefill rate is not positive",
            ),
        ]
        for model in engine.models:
            size = f"the group size of model {model.name} is below 1"
            share = f"the share of model {model.name} is negative"
            faults += [(model.group_size < 1, size), (model.share < 0, share)]
        for is_fault, message in faults:
            if is_fault:
                yield _error("invalid_value", entry, message)


def _limits(catalogue: catalogues.Catalogue, terms: CallerTerms) -> Found:
    for name, limit in attrs.asdict(catalogue.limits).items():
        if limit < 1:
            yield _error("invalid_value", "limits", f"{name} is not positive")


_CHECKS: tuple[Callable[[catalogues.Catalogue, CallerTerms], Found], ...] = (
    _names,
    _matches,
    _targets,
    _customer_keys,
    _times,
    _repeats,
    _engines,
    _limits,
)


def unknown_fields(places: Iterable[str]) -> list[Finding]:
    """Return a finding for each field that no platform defines."""
    return [
        _warning("unknown_field", place, "is ignored by nodes")
        for place in places
    ]


def compare(
    catalogue: catalogues.Catalogue, in_force: catalogues.Catalogue
) -> list[Finding]:
    """Return the differences from the catalogue in force."""
    changes = [
        finding
        for label, section in _SECTIONS.items()
        for finding in _section_changes(
            label, getattr(in_force, section), getattr(catalogue, section)
        )
    ]
    changes += _field_changes("limits", in_force.limits, catalogue.limits)
    changes += _need_of_keys(catalogue, in_force)
    is_older = catalogue.revision < in_force.revision
    if is_older or (changes and catalogue.revision == in_force.revision):
        stale = _error(
            "revision_not_newer",
            "configuration",
            f"nodes ignore revision {catalogue.revision}, as revision"
            f" {in_force.revision} is in force",
        )
        return [stale, *changes]
    return changes


def _need_of_keys(
    catalogue: catalogues.Catalogue, in_force: catalogues.Catalogue
) -> Found:
    if catalogue.needs_keys != in_force.needs_keys:
        text = f"{in_force.needs_keys} -> {catalogue.needs_keys}"
        yield _change("changed", "customers", f"needs_keys: {text}")


def _section_changes(label: str, before: Iterable, after: Iterable) -> Found:
    # The first route and the last service or customer of a name is in force;
    # repeated names are reported by `check`.
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in sorted(old.keys() - new.keys()):
        yield _change("removed", f"{label} {name}", "is removed")
    for name in sorted(new.keys() - old.keys()):
        yield _change("added", f"{label} {name}", "is new")
    for name in sorted(old.keys() & new.keys()):
        yield from _field_changes(f"{label} {name}", old[name], new[name])
    shared = [name for name in new if name in old]
    if label == "route" and shared != [name for name in old if name in new]:
        yield _change("reordered", "routes", "are in another order")


def _field_changes(entry: str, before: Any, after: Any) -> Found:
    old, new = dict(_flat("", before)), dict(_flat("", after))
    for field in sorted(old.keys() | new.keys()):
        was, now = old.get(field), new.get(field)
        if was == now:
            continue
        if field == _KEYS:
            added, removed = len({*now} - {*was}), len({*was} - {*now})
            text = f"{added} added, {removed} removed"
        else:
            text = f"{_text(was)} -> {_text(now)}"
        yield _change("changed", entry, f"{field}: {text}")


def _flat(prefix: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the fields of an item and of the items in it, with their paths."""
    if attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            path = f"{prefix}.{field.name}" if prefix else field.name
            yield from _flat(path, getattr(value, field.name))
    elif isinstance(value, tuple) and prefix != _KEYS:
        for item in value:
            label = getattr(item, "name", getattr(item, "service", ""))
            yield from _flat(f"{prefix}[{label}]", item)
    else:
        yield prefix, value


def _text(value: Any) -> str:
    return "none" if value is None else str(value)


def _change(code: str, entry: str, message: str) -> Finding:
    return Finding(code, Severity.CHANGE, entry, message)


def _repeated(names: list[str]) -> list[str]:
    return [
        name for name, count in collections.Counter(names).items() if count > 1
    ]
