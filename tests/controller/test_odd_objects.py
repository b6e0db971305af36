"""Guards the watches of the store against odd values of another writer."""

import asyncio
import contextlib
import json
import random

import attrs
import eliot
import pytest

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.controller import watchers
from balsamlug.messages import codec
from balsamlug.platform import objects
from balsamlug.platform import requests
from balsamlug.store import client
from balsamlug_standins import object_api
from tests import odd_values
from tests.platform import samples

WAIT_S = 5.0
INTERVAL_S = 0.01


@attrs.define
class _Site:
    """The watches of one node, the store that it reads and what it logs."""

    api: object_api.ObjectApi
    state: fleet.FleetState
    lines: list[dict]

    async def until(self, condition) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(INTERVAL_S)

    async def follows(self) -> None:
        """Wait until the node has read all that the store holds."""
        revision = self.api.table.revision
        self.api.write("servers", "i-last", samples.ENTRY)
        await self.until(
            lambda: self.state.instances_revision // 2 % 2**40 > revision
        )

    def logged(self, message_type: str) -> list[dict]:
        return [
            line
            for line in self.lines
            if line.get("message_type") == message_type
        ]


@contextlib.asynccontextmanager
async def _watching(api: object_api.ObjectApi | None = None):
    api = api or object_api.ObjectApi()
    wire = objects.PlatformWire()
    address = api.listen()
    store = client.ObjectStore(f"http://{address}", wire=wire)
    state = fleet.FleetState("s")
    settings = schema.NodeSettings(
        "node-1", "s", "r", "z1", "127.0.0.1", 1, 2, 3, 4, address
    )
    watches = watchers.Watchers(
        settings,
        state,
        store,
        clocks.SystemClock(),
        random.Random(1),
        wire.configuration,
        INTERVAL_S,
        INTERVAL_S,
        INTERVAL_S,
    )
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    # The first destination also gets what was logged before.
    lines.clear()
    watches.start()
    try:
        yield _Site(api, state, lines)
    finally:
        await watches.stop()
        eliot.remove_destination(lines.append)
        store.close()
        api.stop()


def _assert_encodable(site: _Site) -> None:
    """Check that all that the node has accepted can be passed on."""
    for message in snapshots.messages(site.state, 0.0):
        codec.encode(message)
    for name in site.state.instances:
        for value in requests.expected_instance(name).values():
            assert value.isascii()
            assert value.isprintable()
    json.dumps(site.lines, default=str).encode()


@pytest.mark.parametrize("name", odd_values.VALUES)
def test_odd_value_in_any_field_of_an_entry_leaves_the_others(name):
    async def run() -> None:
        api = object_api.ObjectApi()
        fields = [*samples.ENTRY, "Unknown"]
        entries = {
            f"odd-{field}": odd_values.entry(field, odd_values.VALUES[name])
            for field in fields
        }
        api.write("servers", "i-1", samples.ENTRY)
        api.write("servers", "z-1", samples.ENTRY)
        async with _watching(api) as site:
            await site.follows()
            for entry, raw in entries.items():
                api.write_raw("servers", entry, object_api.RawSpec(raw))
            await site.follows()
            assert {"i-1", "z-1"} <= site.state.instances.keys()
            assert "odd-Address" not in site.state.instances
            _assert_encodable(site)
            api.remove("servers", "z-1")
            for entry in entries:
                api.write("servers", entry, samples.ENTRY)
            await site.follows()
            assert entries.keys() <= site.state.instances.keys()
            assert "z-1" not in site.state.instances
            for entry, raw in entries.items():
                api.write_raw("servers", entry, object_api.RawSpec(raw))
            await site.follows()
            for entry in entries:
                api.remove("servers", entry)
            await site.follows()
            assert site.state.instances.keys() == {"i-1", "i-last"}
            _assert_encodable(site)
            assert not site.logged("task_failed")
            assert not site.logged("store_read_failed")

    asyncio.run(run())


@pytest.mark.parametrize("name", odd_values.VALUES)
@pytest.mark.parametrize("field", ["Name", "Revision"])
def test_odd_metadata_of_an_entry_leaves_the_others(name, field):
    async def run() -> None:
        metadata = {b"Name": b'"i-2"', b"Revision": b"3"} | {
            field.encode(): odd_values.VALUES[name]
        }
        members = b",".join(b'"%b":%b' % member for member in metadata.items())
        spec = json.dumps(samples.ENTRY).encode()
        raw = b'{"Metadata":{%b},"Spec":%b}' % (members, spec)
        api = object_api.ObjectApi()
        api.write("servers", "i-1", samples.ENTRY)
        api.write_raw("servers", "i-2", object_api.RawObject(raw))
        async with _watching(api) as site:
            await site.follows()
            assert {"i-1", "i-last"} <= site.state.instances.keys()
            _assert_encodable(site)
            api.write_raw("servers", "i-2", object_api.RawObject(raw))
            api.write("servers", "i-3", samples.ENTRY)
            await site.follows()
            assert {"i-1", "i-3", "i-last"} <= site.state.instances.keys()
            _assert_encodable(site)
            assert not site.logged("task_failed")
            assert not site.logged("store_read_failed")

    asyncio.run(run())


CONFIGURATION = json.dumps(samples.CONFIGURATION).encode()
CONFIGURATIONS = {
    "whole": lambda odd: odd,
    "version": lambda odd: CONFIGURATION.replace(b"7,", b"%b," % odd, 1),
    "routes": lambda odd: CONFIGURATION.replace(
        b'"Routes"', b'"Routes":%b,"Former"' % odd
    ),
    "timeout": lambda odd: CONFIGURATION.replace(b"8000", odd),
    "weight": lambda odd: CONFIGURATION.replace(b"90}", b"%b}" % odd),
    "share": lambda odd: CONFIGURATION.replace(b"0.67", odd),
    "customers": lambda odd: CONFIGURATION.replace(b'"hule930"', odd),
    "keys": lambda odd: CONFIGURATION.replace(b'"k1"', odd),
    "limits": lambda odd: CONFIGURATION.replace(b"16384", odd),
}


ALL_VALUES_PARTS = ("whole", "version", "share")
SOME_VALUES = (
    "array nested 1000 deep",
    "lone surrogate",
    "huge number",
    "null",
)


@pytest.mark.parametrize(
    ("part", "name"),
    [
        (part, name)
        for part in CONFIGURATIONS
        for name in odd_values.VALUES
        if part in ALL_VALUES_PARTS or name in SOME_VALUES
    ],
)
def test_odd_configuration_does_not_keep_out_a_later_one(part, name):
    async def run() -> None:
        api = object_api.ObjectApi()
        raw = CONFIGURATIONS[part](odd_values.VALUES[name])
        assert raw != CONFIGURATION
        api.write("config", "main", samples.CONFIGURATION | {"Version": 6})
        async with _watching(api) as site:
            await site.until(lambda: site.state.config_revision >= 6)
            api.write_raw("config", "main", object_api.RawSpec(raw))
            api.write("config", "other", {})
            await asyncio.sleep(0.1)
            _assert_encodable(site)
            # A configuration is in force as a whole or not at all.
            expected = catalogues.settings(site.state.catalogue)
            assert site.state.settings == expected
            api.write("config", "main", samples.CONFIGURATION | {"Version": 8})
            await site.until(lambda: site.state.config_revision == 8)
            assert len(site.state.catalogue.routes) == 2
            _assert_encodable(site)
            assert not site.logged("task_failed")
            assert not site.logged("store_read_failed")

    asyncio.run(run())


def test_unusable_entry_is_logged_once_while_others_change():
    async def run() -> None:
        api = object_api.ObjectApi()
        raw = odd_values.entry("Address", odd_values.VALUES["port 70000"])
        api.write_raw("servers", "i-2", object_api.RawSpec(raw))
        async with _watching(api) as site:
            for _ in range(3):
                await site.follows()
            (line,) = site.logged("instance_rejected")
            assert line["instance"] == "i-2"
            api.write("servers", "i-2", samples.ENTRY)
            await site.follows()
            api.write_raw("servers", "i-2", object_api.RawSpec(raw))
            await site.follows()
            assert len(site.logged("instance_rejected")) == 2

    asyncio.run(run())
