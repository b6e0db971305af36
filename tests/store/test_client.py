"""Guards against wrong types of store failures and writes applied twice."""

import asyncio
import contextlib
import random
import tracemalloc

import pytest
from tornado import httpserver
from tornado import netutil
from tornado import web

from balsamlug import exceptions
from balsamlug.platform import objects
from balsamlug.store import client
from balsamlug.store import objects as store_objects
from balsamlug_standins import memory_store


@pytest.mark.parametrize(
    ("status", "body", "failure"),
    [
        (404, "{}", exceptions.StoreNotFound),
        (409, '{"version": 4}', exceptions.StoreConflict),
        (413, "{}", exceptions.StoreValueTooLarge),
        (429, '{"retry_after_ms": 9}', exceptions.StoreRateLimited),
        (503, "{}", exceptions.StoreOutage),
        (200, "no json", exceptions.StoreOutage),
        (200, "[]", exceptions.StoreOutage),
    ],
)
def test_each_error_answer_raises_its_exception(status, body, failure):
    class Handler(web.RequestHandler):
        def put(self, *_):
            self.set_status(status)
            self.finish(body)

    async def scenario():
        (sock,) = netutil.bind_sockets(0, "127.0.0.1")
        server = httpserver.HTTPServer(web.Application([("/.*", Handler)]))
        server.add_sockets([sock])
        store = client.ObjectStore(f"http://127.0.0.1:{sock.getsockname()[1]}")
        try:
            await store.put("kind", "a/b", {}, 0)
        finally:
            store.close()
            server.stop()

    with pytest.raises(failure) as raised:
        asyncio.run(scenario())
    if status == 409:
        assert raised.value.version == 4


def test_unreachable_store_is_an_outage():
    async def scenario():
        await client.ObjectStore("http://127.0.0.1:9").get("kind", "name")

    with pytest.raises(exceptions.StoreOutage):
        asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_commit_never_applies_twice_and_never_claims_a_lost_write(seed):
    async def scenario():
        store = memory_store.MemoryStore(random.Random(seed))
        store.faults = memory_store.StoreFaults(0.4, 0.3, 0.2)
        accepted = set()
        for number in range(30):
            await _append(store, number, accepted)
        store.faults = memory_store.StoreFaults()
        await asyncio.sleep(0.06)
        return (await store.get("list", "x")).value["numbers"], accepted

    numbers, accepted = asyncio.run(scenario())
    assert len(numbers) == len(set(numbers))
    assert accepted <= set(numbers)


async def _append(store, number, accepted):
    try:
        stored = await store.get("list", "x")
        version, numbers = stored.version, stored.value["numbers"]
    except exceptions.StoreNotFound:
        version, numbers = 0, []
    value = {"numbers": [*numbers, number]}
    try:
        await store.commit(
            "list", "x", value, version, lambda v: number in v["numbers"]
        )
    except exceptions.StoreError:
        return
    accepted.add(number)


def test_revision_of_a_listing_is_that_of_its_first_page(monkeypatch):
    # A watch from a later revision would miss changes of the first page that
    # were made while the second one was read.
    def page(name: str, more: bool, revision: int) -> dict:
        entry = {"Metadata": {"Name": name, "Revision": 1}, "Spec": {}}
        return {"Entries": [entry], "More": more, "CurrentRev": revision}

    pages = [page("a", True, 7), page("b", False, 9)]

    async def call(name, encoded):
        return store_objects.Answer(pages.pop(0), 0)

    async def main():
        store = client.ObjectStore("http://h", wire=objects.PlatformWire())
        monkeypatch.setattr(store, "_call", call)
        listed = await store.list("servers")
        assert [item.name for item in listed.items] == ["a", "b"]
        assert listed.revision == 7
        store.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n"),
        (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"a"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\na\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"a"),
    ],
    ids=["headers", "header", "body", "chunks", "length"],
)
def test_answer_without_end_is_an_outage(start, repeated):
    # A store in trouble may send bytes until its client closes.
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(repeated * (32 * 1024 // len(repeated)))
                await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        store = client.ObjectStore(f"http://127.0.0.1:{port}")
        tracemalloc.start()
        with pytest.raises(exceptions.StoreOutage):
            await store.get("config", "main")
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        store.close()
        server.close()
        assert peak < 4 * client.MAX_ANSWER_BYTES

    asyncio.run(main())


WRITTEN = b'{"version": 4}'
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _put_with_answer(answer: bytes) -> int:
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        store = client.ObjectStore(f"http://127.0.0.1:{port}")
        try:
            return await store.put("kind", "name", {}, 0)
        finally:
            store.close()
            server.close()

    return asyncio.run(main())


def test_unframed_answer_ends_with_its_connection():
    assert _put_with_answer(OK_HEAD + b"\r\n" + WRITTEN) == 4


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        OK_HEAD,
        OK_HEAD + b"\r\n",
        *(OK_HEAD + b"\r\n" + WRITTEN[:n] for n in range(1, len(WRITTEN))),
        OK_HEAD + b"Content-Length: 15\r\n\r\n" + WRITTEN,
        CHUNKED_HEAD,
        CHUNKED_HEAD + b"e\r\n" + WRITTEN + b"\r\n",
    ],
)
def test_cut_answer_is_an_outage(answer):
    with pytest.raises(exceptions.StoreOutage):
        _put_with_answer(answer)
