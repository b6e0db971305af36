"""Samples of every format between nodes and in the store, as a build has them.

Run `PYTHONPATH=DIRECTORY python tests/compatibility/formats.py COMMIT`, where
the directory holds the files of the commit, to record the formats of its build.
"""

import asyncio
import base64
import importlib
import json
import pathlib
import sys
import types as namespaces

import attrs

from balsamlug import exceptions
from balsamlug import tables
from balsamlug.entry import registration
from balsamlug.gateway import datagrams
from balsamlug.messages import codec
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.ownership import groups
from balsamlug.ownership import lease as leases

DIRECTORY = pathlib.Path(__file__).resolve().parent / "recorded"
KEY = b"012345"
INSTANCE = {
    "id": "i-1",
    "incarnation": "3",
    "kind": "engine",
    "address": "127.0.0.1:9001",
    "fabric_domain": "d1",
    "failure_domain": "z1",
    "region": "r1",
    "accelerators": 8,
    "state": "live",
    "checks_orders": True,
    "announcement": {
        "membership": {
            "group": "d1-1",
            "generation": 4,
            "rank": 0,
            "state": "ready",
            "model": "m",
        },
        "staged": ["m"],
        "orders": 2,
        "active": 1,
        "queued": 0,
    },
}
GROUPS = (
    tables.Group("d1-1", "dep", 4, ("i-1", "i-2"), "m", "v1", ("3", "1")),
    tables.Group("d1-2", "dep", 5, ("i-3",), "m", "v1", (), "drained"),
)
LEASE = leases.Lease("node-1", 7, 6_000, 12, "operation")
# By type, in the order of the fields.
FIELDS = {
    "Hello": ("node-1", 5, "controller"),
    "Heartbeat": ("node-1", 5),
    "NodeUpdate": ("node-1", 5, "up", "r1", "z1", "127.0.0.1:9000"),
    "ConfigUpdate": (3, {"revision": 3, "base": "x", "overlays": {"a": "y"}}),
    "GroupReport": (
        *("d1-1", "node-1", "dep", 4, True, False, "", "127.0.0.1:9001"),
        *([1, 2, 8, 0, 30], 40, 9),
    ),
    "InstanceUpdate": (8, [INSTANCE]),
    "SuspicionUpdate": ("fp", 2, 30),
    "GroupFault": ("d1-1", 4, "reset"),
    "RouterStats": (1, 2, {"no_ready_group": 3}, False),
    "Leaving": ("node-1", 5),
    "Digest": (3, 8, 2**60, 2**61, 2**62, 4),
    "Versions": ("domains", {"d1": 6}),
    "VersionsPart": ("nodes", "a", "n", {"node-1": 15}),
    "ReportRequest": (KEY,),
    "InstanceDelta": (8, 10, [INSTANCE], ["i-4"]),
    "PermitRequest": ("fp", "node-1-3", "ask"),
    "PermitGrant": ("fp", "node-1-3", False, 200),
    "TunnelRequest": ("node-1", "127.0.0.1:9001"),
    "TunnelReply": ("open", [[KEY, True, 0]]),
    "UpstreamNotice": (KEY, False, 300),
}


def domain_value() -> dict:
    """Return the stored value of a domain."""
    return {
        "lease": leases.to_value(LEASE),
        "groups": {group.id: groups.to_value(group) for group in GROUPS},
        "draining": {"i-3": "operator"},
        "next_group": 6,
    }


def _frames() -> dict[str, str]:
    domain = domain_value()
    domain_key = renewal.content_key("d1", domain)
    fields = FIELDS | {
        "DomainUpdate": ("d1", 6, domain),
        "DomainDelta": ("d1", domain_key, 6, {"lease": domain["lease"]}),
        "ReportRefresh": (
            *(1, refresh.pack([refresh.entry(KEY, 9, [1, 2, 8], 40)])),
        ),
        "LeaseRefresh": (
            *(0, renewal.pack([renewal.Entry(domain_key, 6, 13)])),
        ),
    }
    known = {cls.__name__: cls for cls in types.TYPES.values()}
    return {
        name: _text(codec.encode(known[name](*values)))
        for name, values in fields.items()
        if name in known
    }


def _datagram() -> str:
    fields = [
        *("node-1", 5, 6, 0, {"d1-1": 3}, ["i-9"], ["fp"]),
        {"i-1": INSTANCE["announcement"]},
    ]
    if len(attrs.fields(datagrams.Datagram)) > len(fields):
        limits = importlib.import_module("balsamlug.limit_table")
        fields.append([limits.Entry(KEY, 2.0, 0.5, 3.0)])
    return _text(datagrams.encode(datagrams.Datagram(*fields)))


class _Store:
    """Empty store that keeps what a node writes."""

    def __init__(self) -> None:
        self.written: list[dict] = []

    async def get(self, kind: str, name: str) -> None:
        raise exceptions.StoreNotFound

    async def put(self, kind: str, name: str, value: dict, version: int) -> int:
        self.written.append(value)
        return 1


def _registration() -> dict:
    settings = namespaces.SimpleNamespace(
        id="node-1",
        address="127.0.0.1",
        peer_port=9000,
        failure_domain="z1",
    )
    store = _Store()
    node = registration.Registration(settings, store, None)
    asyncio.run(node._register())
    return store.written[0]


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def record() -> dict:
    """Return what the imported build writes."""
    return {
        "frames": _frames(),
        "datagram": _datagram(),
        "domain": domain_value(),
        "registration": _registration(),
    }


if __name__ == "__main__":
    path = DIRECTORY / f"{sys.argv[1]}.json"
    path.write_text(json.dumps(record(), indent=1) + "\n")
