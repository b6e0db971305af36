"""Guards against requests without a log entry and logs that block a process."""

import asyncio
import contextlib
import json
import os
import time

import eliot

from balsamlug.observability import logs
from tests.router import fakes


def test_one_action_for_each_request_linked_to_its_upstream():
    messages = []

    async def main():
        async with fakes.harness(1) as h:
            h.engines[0].steps = ["cut:1"]
            req = {"model": "chat", "prompt": "hi", "max_tokens": 3}
            resp, _ = await h.post(req)
            return resp.headers["X-Request-Id"], h.engines[0].headers

    def record_message(message):
        messages.append(json.loads(json.dumps(message, default=str)))

    eliot.add_destinations(record_message)
    try:
        request_id, headers = asyncio.run(main())
    finally:
        eliot.remove_destination(record_message)
    # eliot first replays the messages logged before a destination was added.
    task = next(m for m in messages if m.get("id") == request_id)["task_uuid"]
    started, ended = [m for m in messages if m["task_uuid"] == task]
    assert ended["customer"] == "vedrina"
    assert ended["outcome"] == "ok"
    assert ended["attempts"] == ["g0:cut_off", "g0:complete"]
    assert all(
        h["X-Eliot-Task"].startswith(started["task_uuid"]) for h in headers
    )


def test_a_full_pipe_never_blocks_and_dropped_lines_are_counted():
    async def scenario() -> bytes:
        reader, writer = os.pipe()
        log = logs.BoundedLog(asyncio.get_running_loop(), writer)
        for number in range(3 * logs.MAX_WAITING_LINES):
            log({"message_type": "x", "number": number, "text": "y" * 100})
        await asyncio.sleep(3 * logs.FLUSH_S)
        os.set_blocking(reader, False)
        received = bytearray()
        for _ in range(100):
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                await asyncio.sleep(logs.FLUSH_S)
        os.close(reader)
        os.close(writer)
        return bytes(received)

    lines = asyncio.run(scenario()).splitlines()
    types = [json.loads(line)["message_type"] for line in lines]
    assert types.count("x") == logs.MAX_WAITING_LINES
    assert "log_lines_dropped" in types


def test_long_lines_for_a_slow_reader_take_bounded_memory(monkeypatch):
    """Guards against callers whose request ids fill the memory of a node."""
    monkeypatch.setattr(logs, "FLUSH_S", 0.0)
    reader, writer = os.pipe()
    received = []

    async def main():
        log = logs.BoundedLog(asyncio.get_running_loop(), writer)
        # No line is written before the loop runs again.
        for _ in range(logs.MAX_WAITING_LINES):
            log({"message_type": "x", "request": "\u00ff" * 16_384})
        assert log.dropped
        assert sum(map(len, log._lines)) <= 5 * 1024 * 1024
        os.set_blocking(reader, False)
        while log._lines:
            await asyncio.sleep(0)
            with contextlib.suppress(BlockingIOError):
                received.append(os.read(reader, 1 << 20))
        log({"message_type": "last"})
        log.drain()
        received.append(os.read(reader, 4096))

    asyncio.run(main())
    lines = [json.loads(line) for line in b"".join(received).splitlines()]
    assert len(lines[0]["request"]) == 16_384
    assert lines[-1]["message_type"] == "last"
    os.close(reader)
    os.close(writer)


def test_the_last_lines_of_a_process_are_written():
    """Guards the line about a stop, lost if the loop ends before a flush."""
    reader, writer = os.pipe()

    async def main():
        log = logs.BoundedLog(asyncio.get_running_loop(), writer)
        log({"message_type": "stopped"})
        log.drain()

    asyncio.run(main())
    os.close(writer)
    assert json.loads(os.read(reader, 4096)) == {"message_type": "stopped"}
    os.close(reader)


def test_a_stopped_reader_does_not_block_the_exit_of_a_process():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 65536)

    async def main():
        log = logs.BoundedLog(asyncio.get_running_loop(), writer)
        log({"message_type": "stopped"})
        started_s = time.monotonic()
        log.drain()
        return time.monotonic() - started_s

    assert asyncio.run(main()) < 5 * logs.DRAIN_S
    os.close(reader)
    os.close(writer)
