"""Guards nodes of two builds that run side by side during an upgrade."""

import asyncio
import base64
import json

import attrs
import msgpack
import pytest

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.entry import registration
from balsamlug.gateway import datagrams
from balsamlug.membership import reconcile
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.ownership import groups
from balsamlug.ownership import lease as leases
from balsamlug.paths import tunnel
from balsamlug.store import objects
from tests.compatibility import formats

# The last one is the latest landed build.
COMMITS = ("47d6f6f", "77f90bc", "53ba545")
RECORDED = {
    commit: json.loads((formats.DIRECTORY / f"{commit}.json").read_text())
    for commit in COMMITS
}
FRAMES = [
    pytest.param(name, base64.b64decode(text), id=f"{commit}-{name}")
    for commit, recorded in RECORDED.items()
    for name, text in recorded["frames"].items()
]
TYPES = {cls.__name__: cls for cls in types.TYPES.values()}
# Types that the latest landed build lacks. A node sends them only to nodes that
# request them, see `test_catalogue_deltas`.
REQUESTED_TYPES = {"ConfigDelta"}
# Types that the latest landed build lacks and drops.
DROPPED_TYPES = {"EvacuationUpdate", "StoreRead", "CrashedPrompt"}
# Number of fields that this build appends to what the latest landed build
# knows. That build ignores them, as `decode_body` did from the first on.
ADDED_FIELDS = {"Digest": 1, "NodeUpdate": 1}


def _without_added_fields(name: str, text: str) -> str:
    frame = base64.b64decode(text)
    fields = msgpack.unpackb(frame[codec.LENGTH_BYTES :])
    body = msgpack.packb(fields[: len(fields) - ADDED_FIELDS.get(name, 0)])
    length = len(body).to_bytes(codec.LENGTH_BYTES, "big")
    return base64.b64encode(length + body).decode()


def test_latest_landed_build_reads_what_this_build_writes():
    # A format that differs is recorded anew once both directions are tested.
    written = formats.record()
    written["frames"] = {
        name: _without_added_fields(name, text)
        for name, text in written["frames"].items()
    }
    assert written == RECORDED[COMMITS[-1]]


def test_every_message_type_is_recorded():
    recorded = RECORDED[COMMITS[-1]]["frames"].keys()
    added = REQUESTED_TYPES | DROPPED_TYPES
    assert not recorded & added
    assert recorded | added == TYPES.keys()


@pytest.mark.parametrize(
    "message",
    [
        types.EvacuationUpdate(7, ["z1"]),
        types.StoreRead(b"reader", 0, 1, 30),
        types.CrashedPrompt("d1-1:4", 30, b"part"),
    ],
    ids=lambda message: type(message).__name__,
)
def test_build_without_a_type_drops_the_message_and_keeps_the_link(
    monkeypatch, message
):
    body = codec.encode_body(message)
    monkeypatch.delitem(types.TYPES, message.TAG)
    with pytest.raises(exceptions.MessageRejected) as rejected:
        codec.decode_body(body)
    assert rejected.value.reason == codec.UNKNOWN_TYPE


def test_digest_of_an_earlier_build_states_no_evacuations():
    frame = base64.b64decode(RECORDED[COMMITS[-1]]["frames"]["Digest"])
    digest = codec.decode_body(frame[codec.LENGTH_BYTES :])
    assert digest.evacuations == 0
    held = attrs.evolve(digest, evacuations=9)
    assert reconcile.differing_kinds(held, digest) == []


@pytest.mark.parametrize(("name", "frame"), FRAMES)
def test_frame_of_an_earlier_build_is_read(name, frame):
    assert codec.frame_length(frame[: codec.LENGTH_BYTES]) == len(frame) - 4
    body = frame[codec.LENGTH_BYTES :]
    message = codec.decode_body(body)
    validation.check(message)
    assert type(message) is TYPES[name]
    _, _, *fields = msgpack.unpackb(body)
    known = list(attrs.astuple(message, recurse=False))
    assert known[: len(fields)] == fields


@pytest.mark.parametrize(("name", "frame"), FRAMES)
def test_fields_added_by_a_newer_build_are_ignored(name, frame):
    body = frame[codec.LENGTH_BYTES :]
    # A newer build also writes all fields of this one.
    known = codec.encode_body(codec.decode_body(body))
    added = msgpack.packb([*msgpack.unpackb(known), {"added": [1]}, "added"])
    assert codec.decode_body(added) == codec.decode_body(body)


@pytest.mark.parametrize("commit", COMMITS)
def test_datagram_of_an_earlier_build_is_read(commit):
    datagram = datagrams.decode(base64.b64decode(RECORDED[commit]["datagram"]))
    assert (datagram.node, datagram.counts) == ("node-1", {"d1-1": 3})
    assert datagram.unresponsive == ["i-9"]
    assert datagram.refused == ["fp"]
    assert datagram.unlisted == {"i-1": formats.INSTANCE["announcement"]}
    keys = [entry.key for entry in datagram.limits]
    assert keys == ([] if commit == "47d6f6f" else [formats.KEY])


@pytest.mark.parametrize("commit", COMMITS)
def test_stored_domain_of_an_earlier_build_is_read(commit):
    value = RECORDED[commit]["domain"]
    validation.check(types.DomainUpdate("d1", 6, value))
    assert leases.from_value(value) == formats.LEASE
    assert list(groups.from_value(value).values()) == list(formats.GROUPS)


@pytest.mark.parametrize("commit", COMMITS)
def test_stored_domain_with_fields_of_a_newer_build_is_read(commit):
    value = RECORDED[commit]["domain"] | {"added": 1}
    value["lease"] = value["lease"] | {"added": 1}
    value["groups"] = {
        name: group | {"added": 1} for name, group in value["groups"].items()
    }
    validation.check(types.DomainUpdate("d1", 6, value))
    assert leases.from_value(value) == formats.LEASE
    assert list(groups.from_value(value).values()) == list(formats.GROUPS)


@attrs.define
class _Table:
    known_addresses: set[str] = attrs.field(factory=set)


@attrs.define
class _Store:
    values: dict[str, object]

    async def list(self, kind: str) -> objects.Changes:
        items = [
            objects.StoredObject(kind, name, 1, value)
            for name, value in self.values.items()
        ]
        return objects.Changes(tuple(items), (), 1)


@pytest.mark.parametrize("commit", COMMITS)
@pytest.mark.parametrize("added", [{}, {"added": 1}])
def test_registration_of_another_build_is_found(commit, added):
    stored = {
        "node-1": RECORDED[commit]["registration"] | added,
        "n": "of a form that this build does not know",
    }
    table = _Table()
    settings = attrs.make_class("Settings", ["id"])("node-1")
    node = registration.Registration(settings, _Store(stored), table)
    asyncio.run(node._discover())
    assert table.known_addresses == {"127.0.0.1:9000"}


class _Transport:
    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


def test_tunnel_reply_of_an_earlier_build_is_read():
    async def read() -> types.TunnelReply:
        client = tunnel.Tunnel(types.TunnelRequest("node-2", "127.0.0.1:1"))
        client.connection_made(_Transport())
        frame = RECORDED["53ba545"]["frames"]["TunnelReply"]
        client.data_received(base64.b64decode(frame))
        return await client.reply

    assert asyncio.run(read()).status == types.TUNNEL_OPEN
