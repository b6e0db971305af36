"""Values that another writer may leave in the store, as JSON texts."""

import json

from tests.platform import samples

SURROGATE = b'"\\ud800"'
VALUES = {
    "array nested 100 deep": b"[" * 100 + b"]" * 100,
    "array nested 1000 deep": b"[" * 1000 + b"]" * 1000,
    "array nested 20000 deep": b"[" * 20_000 + b"]" * 20_000,
    "object nested 20000 deep": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "integer of 5000 digits": b"1" * 5000,
    "integer beyond 64 bits": b"1" * 25,
    "infinite number": b"1e999",
    "huge number": b"1e308",
    "infinity": b"Infinity",
    "not a number": b"NaN",
    "negative integer": b"-1",
    "fraction": b"1.5",
    "boolean": b"true",
    "null": b"null",
    "lone surrogate": SURROGATE,
    "encoded surrogate": b'"\xed\xa0\x80"',
    "not UTF-8": b'"\xff\xfe"',
    "raw control characters": b'"\x00\x01"',
    "line end": b'"a\\r\\nX-Injected: 1"',
    "empty text": b'""',
    "long text": b'"' + b"a" * 50_000 + b'"',
    "brackets in a text": b'"]}]}\\"]}{"',
    "empty array": b"[]",
    "empty object": b"{}",
    "object with a bad key": b"{" + SURROGATE + b":1}",
    "duplicate keys": b'{"a":1,"a":"\\ud800"}',
    "port 0": b'"127.0.0.1:0"',
    "port 70000": b'"127.0.0.1:70000"',
    "negative port": b'"127.0.0.1:-1"',
    "port that is no number": b'"127.0.0.1:x"',
    "port of another script": b'"127.0.0.1:\\u00b2"',
    "port with a line end": b'"127.0.0.1:80\\r\\n"',
    "address without a port": b'"127.0.0.1"',
    "address with a zone": b'"fe80::1%\\r\\n:80"',
    "host name": b'"odd.invalid:80"',
}
# Makes any entry unreadable or invalid, whatever the field that holds it.
UNREADABLE = (
    "array nested 20000 deep",
    "object nested 20000 deep",
    "integer of 5000 digits",
    "infinite number",
    "not a number",
    "lone surrogate",
    "encoded surrogate",
    "not UTF-8",
    "raw control characters",
)


def entry(field: str, value: bytes) -> bytes:
    """Return the text of a server's entry in which one field is replaced."""
    fields = {
        name: json.dumps(content).encode()
        for name, content in samples.ENTRY.items()
    } | {field: value}
    members = (
        json.dumps(name).encode() + b":" + content
        for name, content in fields.items()
    )
    return b"{" + b",".join(members) + b"}"
