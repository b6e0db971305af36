"""Guards against a router process that starts or stops uncleanly."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
import sys

import pytest

from balsamlug.commands import exits
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from balsamlug.router import upstream
from tests.router import fakes
from tests.router import test_control_link

SETTINGS = """[node]
id = n1
site = s
region = r
failure_domain = f
address = 127.0.0.1
caller_port = {caller}
control_port = {control}
peer_port = 1
admin_port = 1
platform = http://127.0.0.1:1
log_file = {log}
"""
REQ = {"model": "chat", "prompt": "hi", "max_tokens": 20, "stream": True}


@contextlib.contextmanager
def router(directory: pathlib.Path, control: int):
    caller = fakes.free_port()
    path = directory / "node.ini"
    log = directory / "router.log"
    path.write_text(SETTINGS.format(caller=caller, control=control, log=log))
    command = [sys.executable, "-m", "balsamlug", "router"]
    command += ["--settings", str(path), "--stop-delay-s", "0.2"]
    process = subprocess.Popen(command)
    try:
        yield process, f"127.0.0.1:{caller}"
    finally:
        process.kill()
        process.wait()


async def ready(address: str) -> int:
    try:
        call = upstream.Call(address, "GET", "/readyz")
        resp, _ = await upstream.fetch(call, 1.0)
    except Exception:
        return 0
    return resp.status


@pytest.mark.integration
def test_serves_and_ends_streams_before_it_exits(tmp_path):
    async def main():
        engine = fakes.Engine(delay_s=0.05)
        engine.listen()
        load = [0, 0, 0, 0, 0]
        report = types.GroupReport(
            "g", "p", "chat", 1, True, False, "", engine.address, load, 0
        )
        config = types.ConfigUpdate(1, {"base": fakes.BASE})
        frames = [streams.codec.encode(m) for m in (config, report)]
        port = fakes.free_port()
        controller = test_control_link.Controller(frames)
        controller.listen(port, "127.0.0.1")
        with router(tmp_path, port) as (process, address):
            async with asyncio.timeout(20):
                while await ready(address) != 200:
                    await asyncio.sleep(0.05)
            call = upstream.Call(
                address,
                "POST",
                "/v1/completions",
                fakes.AUTH,
                json.dumps(REQ).encode(),
            )
            stream = asyncio.create_task(upstream.fetch(call, 10))
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            assert await ready(address) == 503
            _, body = await stream
            assert body.endswith(b"data: [DONE]\n\n")
            loop = asyncio.get_running_loop()
            code = await loop.run_in_executor(None, process.wait, 5)
            assert code == 0
        assert "traceback" not in (tmp_path / "router.log").read_text()
        controller.stop()
        engine.crash()

    asyncio.run(main())


def test_invalid_settings_are_reported_with_their_exit_code(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("[node]\nid = n1\nport = x\n")
    command = [sys.executable, "-m", "balsamlug", "router"]
    done = subprocess.run(
        [*command, "--settings", str(path)], capture_output=True, text=True
    )
    assert done.returncode == exits.INVALID_CONFIG
    assert "caller_port: is missing" in done.stderr
    assert "port: unknown option" in done.stderr
