"""Instances and what they announce, as the plain values of messages."""

import cattrs

from balsamlug import tables

_converter = cattrs.Converter()


def instance_from_dict(raw: dict) -> tables.Instance:
    """Return an instance of the platform's list, checked before."""
    return tables.Instance(
        id=raw["id"],
        incarnation=str(raw["incarnation"]),
        kind=tables.InstanceKind(raw["kind"]),
        address=raw["address"],
        fabric_domain=raw.get("fabric_domain", ""),
        failure_domain=raw.get("failure_domain", ""),
        region=raw.get("region", ""),
        accelerators=raw.get("accelerators", 0),
        state=tables.InstanceState(raw.get("state", "live")),
        checks_orders=raw.get("checks_orders", False),
        service=raw.get("service", ""),
        slots=raw.get("slots", 0),
        announcement=announcement_from_dict(raw.get("announcement")),
    )


def announcement_to_dict(told: tables.Announcement) -> dict:
    """Return an announcement as plain values."""
    return _converter.unstructure(told)


def announcement_from_dict(raw: dict | None) -> tables.Announcement | None:
    """Return an announcement in plain values, checked before."""
    if raw is None:
        return None
    return _converter.structure(raw, tables.Announcement)


def instance_to_dict(instance: tables.Instance) -> dict:
    """Return an instance as in the platform's list."""
    return _converter.unstructure(instance)
