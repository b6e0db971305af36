"""Guards the faults that integration tests rely on.

If a fault had no effect, those tests would pass without testing anything.
"""

import asyncio
import contextlib
import json
import time

import pytest
from tornado import simple_httpclient

from balsamlug_standins import proxy
from balsamlug_standins import serving

# Long enough to distinguish held bytes from slow ones on a busy machine.
IDLE_CHECK_S = 0.3
TIMEOUT_S = 5.0


class Target:
    """Echo server that records the bytes and the end of each connection."""

    def __init__(self):
        self.received = []
        self.end_causes = []
        self._server = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, serving.HOST, port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        index = len(self.received)
        self.received.append(b"")
        self.end_causes.append("")
        try:
            while data := await reader.read(1024):
                self.received[index] += data
                writer.write(data)
                await writer.drain()
            self.end_causes[index] = "closed"
        except OSError:
            self.end_causes[index] = "reset"
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def _setup():
    target = Target()
    table = proxy.Proxy()
    route = await table.add("r", await target.start())
    try:
        yield target, route
    finally:
        table.close()
        target.close()


async def _connect(route):
    return await asyncio.open_connection(serving.HOST, route.port)


async def _read(reader, size=4):
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.readexactly(size)


async def _assert_nothing_received(reader):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(IDLE_CHECK_S):
            await reader.read(1)


async def _eventually(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _echo(reader, writer, data=b"ping"):
    writer.write(data)
    return await _read(reader, len(data))


def test_without_faults_bytes_and_the_end_are_forwarded():
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            assert await _echo(reader, writer) == b"ping"
            writer.write_eof()
            assert await reader.read() == b""
            assert target.end_causes == ["closed"]

    asyncio.run(run())


def test_delay_keeps_the_order():
    async def run():
        async with _setup() as (_, route):
            route.set_faults(delay_ms=100)
            reader, writer = await _connect(route)
            started_s = time.monotonic()
            for part in (b"a", b"b", b"c", b"d"):
                writer.write(part)
                await asyncio.sleep(0.01)
            assert await _read(reader) == b"abcd"
            assert time.monotonic() - started_s >= 0.2

    asyncio.run(run())


def test_drop_holds_both_directions_until_it_ends():
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            await _echo(reader, writer)
            route.set_faults(drop=True)
            writer.write(b"more")
            new_reader, new_writer = await _connect(route)
            new_writer.write(b"new.")
            await _assert_nothing_received(reader)
            await _assert_nothing_received(new_reader)
            assert target.received == [b"ping"]
            route.set_faults()
            assert await _read(reader) == b"more"
            assert await _read(new_reader) == b"new."

    asyncio.run(run())


def test_half_open_hides_the_loss_until_the_caller_writes():
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            await _echo(reader, writer)
            route.set_faults(half_open=True)
            await _eventually(lambda: target.end_causes == ["reset"])
            writer.write(b"lost")
            await _assert_nothing_received(reader)
            route.set_faults()
            await _assert_nothing_received(reader)
            writer.write(b"late")
            with pytest.raises(ConnectionResetError):
                await _read(reader)
            assert target.received == [b"ping"]

    asyncio.run(run())


def test_reset_ends_old_and_new_connections():
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            await _echo(reader, writer)
            route.set_faults(reset=True)
            with pytest.raises(ConnectionResetError):
                await _read(reader)
            await _eventually(lambda: target.end_causes == ["reset"])
            with pytest.raises(OSError):
                reader, writer = await _connect(route)
                await _echo(reader, writer)
            assert target.received == [b"ping"]

    asyncio.run(run())


def test_duplicate_delivers_the_bytes_on_a_second_connection():
    async def run():
        async with _setup() as (target, route):
            route.set_faults(duplicate=True)
            reader, writer = await _connect(route)
            assert await _echo(reader, writer) == b"ping"
            await _eventually(lambda: target.received == [b"ping", b"ping"])
            await _assert_nothing_received(reader)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("cut", "arrived"), [("to_target", b"ping"), ("to_caller", b"pingmore")]
)
def test_one_way_cut_holds_only_its_direction(cut, arrived):
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            await _echo(reader, writer)
            route.set_faults(cut=cut)
            writer.write(b"more")
            await _assert_nothing_received(reader)
            assert target.received == [arrived]
            route.set_faults()
            assert await _read(reader) == b"more"

    asyncio.run(run())


def test_throttle_limits_the_rate():
    async def run():
        async with _setup() as (_, route):
            route.set_faults(bytes_per_s=4000)
            reader, writer = await _connect(route)
            started_s = time.monotonic()
            data = b"x" * 2000
            assert await _echo(reader, writer, data) == data
            elapsed_s = time.monotonic() - started_s
            assert 0.4 <= elapsed_s < TIMEOUT_S

    asyncio.run(run())


def test_lost_answer_resets_the_caller_after_delivery():
    async def run():
        async with _setup() as (target, route):
            route.set_faults(lose_answers=1)
            reader, writer = await _connect(route)
            with pytest.raises(ConnectionResetError):
                await _echo(reader, writer)
            assert target.received == [b"ping"]
            assert target.end_causes == [""]
            reader, writer = await _connect(route)
            assert await _echo(reader, writer) == b"ping"

    asyncio.run(run())


def test_silent_connection_loses_bytes_and_hides_the_end():
    async def run():
        async with _setup() as (target, route):
            reader, writer = await _connect(route)
            assert await _echo(reader, writer) == b"ping"
            assert route.silence(lambda: False) == 0
            assert await _echo(reader, writer) == b"ping"
            assert route.silence() == 1
            writer.write(b"lost")
            await _assert_nothing_received(reader)
            writer.close()
            later, new = await _connect(route)
            assert await _echo(later, new) == b"ping"
            assert target.received == [b"pingping", b"ping"]
            assert target.end_causes == ["", ""]

    asyncio.run(run())


def test_stopped_target_resets_the_caller():
    async def run():
        async with _setup() as (target, route):
            target.close()
            with pytest.raises(OSError):
                reader, writer = await _connect(route)
                await _echo(reader, writer)

    asyncio.run(run())


def test_mirrored_route_refuses_while_its_target_does():
    async def run():
        target = Target()
        table = proxy.Proxy()
        address = await target.start()
        route = await table.add("r", address, mirror=True)
        reader, writer = await _connect(route)
        await _echo(reader, writer)
        target.close()
        writer.write_eof()
        assert await reader.read() == b""
        with pytest.raises(ConnectionRefusedError):
            await _connect(route)
        await target.start(int(address.rpartition(":")[2]))
        async with asyncio.timeout(TIMEOUT_S):
            while not await _accepts(route):
                await asyncio.sleep(0.02)
        assert await _echo(*await _connect(route)) == b"ping"
        table.close()
        target.close()

    asyncio.run(run())


async def _accepts(route):
    try:
        await _connect(route)
    except ConnectionRefusedError:
        return False
    return True


def test_faults_are_set_over_http_and_unknown_ones_refused():
    async def run():
        table = proxy.Proxy()
        server, port = serving.listen(proxy.application(table))
        http = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)

        async def post(path, **body):
            return await http.fetch(
                f"http://{serving.HOST}:{port}{path}",
                method="POST",
                body=json.dumps(body),
                raise_error=False,
            )

        await post("/control/routes", name="r", target="127.0.0.1:9")
        faults = "/control/routes/r/faults"
        assert (await post(faults, cut="to_target")).code == 200
        assert table.routes["r"].faults.cut == "to_target"
        assert (await post(faults, cut="sideways")).code == 400
        assert (await post(faults, typo=True)).code == 400
        assert table.routes["r"].faults.cut == "to_target"
        server.stop()
        table.close()

    asyncio.run(run())
