"""Guards all other entries against random faults of single ones."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from balsamlug import encodable
from balsamlug import exceptions
from balsamlug import plain
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.platform import objects
from balsamlug.store import decoding
from balsamlug.store import objects as stored
from tests import odd_values
from tests.platform import samples

NAMES = ("i-1", "i-2", "i-3")
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=12),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)
ODD = st.sampled_from(list(odd_values.VALUES.values())) | JSON.map(
    lambda value: json.dumps(value).encode()
)
FIELDS = st.sampled_from([*samples.ENTRY, "Unknown"])


class _Store:
    """Answers with the given bytes."""

    def __init__(self, wire: objects.PlatformWire) -> None:
        self.wire = wire
        self.answer = b""

    def _decoded(self) -> dict:
        body = decoding.decode(self.answer, self.wire.shape)
        assert isinstance(body, dict)
        return body

    async def list(self, kind: str) -> stored.Changes:
        page = self.wire.parse_page(kind, self._decoded())
        return stored.Changes(page.items, (), page.revision)

    async def watch(self, kind: str, *args: int) -> stored.Changes:
        del args
        return self.wire.parse_changes(kind, self._decoded())


def _object(name: bytes, spec: bytes) -> bytes:
    return b'{"Metadata":{"Name":%b,"Revision":3},"Spec":%b}' % (name, spec)


def _sound(name: str) -> bytes:
    spec = json.dumps(samples.ENTRY).encode()
    return _object(json.dumps(name).encode(), spec)


def _check(listed: stored.InstanceList) -> None:
    ids = {raw["id"] for raw in listed.instances}
    assert set(NAMES) <= ids
    valid = []
    for raw in listed.instances:
        encodable.check(json.loads(json.dumps(raw)))
        try:
            validation.check_instance(raw)
        except exceptions.ProtocolError:
            continue
        valid.append(plain.instance_to_dict(plain.instance_from_dict(raw)))
    assert set(NAMES) <= {raw["id"] for raw in valid}
    decoded = codec.decode_body(
        codec.encode_body(types.InstanceUpdate(3, valid))
    )
    assert len(decoded.instances) == len(valid)


@hypothesis.given(
    FIELDS,
    ODD,
    st.just(b'"odd"') | ODD,
    st.integers(0, len(NAMES)),
    st.booleans(),
)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_other_entries_are_applied_beside_one_fault(
    field, odd, name, at, in_metadata
):
    async def run() -> None:
        wire = objects.PlatformWire()
        store = _Store(wire)
        spec = odd_values.entry(field, odd)
        texts = [_sound(sound) for sound in NAMES]
        texts.insert(at, _object(name if in_metadata else b'"odd"', spec))
        store.answer = b'{"Entries":[%b],"More":false,"CurrentRev":3}' % (
            b",".join(texts)
        )
        _check(await wire.instances(store, None, 0))
        events = [b'{"Removed":false,"Object":%b}' % text for text in texts]
        store.answer = b'{"events":[%b],"CurrentRev":4}' % b",".join(events)
        _check(await wire.instances(store, 3, 0))
        gone = b'{"Removed":true,"Object":%b}' % _sound("odd")
        store.answer = b'{"events":[%b],"CurrentRev":5}' % gone
        listed = await wire.instances(store, 4, 0)
        _check(listed)
        assert "odd" not in {raw["id"] for raw in listed.instances}

    asyncio.run(run())
