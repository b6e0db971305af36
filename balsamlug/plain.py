"""Conversion of instances and announcements to and from plain values.

Messages between nodes and the platform's list carry these values.
"""

import cattrs

from balsamlug import tables

_converter = cattrs.Converter()


def instance_from_dict(raw: dict) -> tables.Instance:
    """Convert plain values of the platform's list, already validated."""
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
        warmup_left_ms=raw.get("warmup_left_ms", 0),
    )


def announcement_to_dict(announcement: tables.Announcement) -> dict:
    """Convert an announcement to plain values."""
    return _converter.unstructure(announcement)


def announcement_from_dict(raw: dict | None) -> tables.Announcement | None:
    """Convert plain values to an announcement, already validated."""
    if raw is None:
        return None
    return _converter.structure(raw, tables.Announcement)


def instance_to_dict(instance: tables.Instance) -> dict:
    """Convert an instance to the plain values of the platform's list."""
    return _converter.unstructure(instance)
