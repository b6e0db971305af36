"""Guards entry processes against odd entries of another writer in the store."""

import asyncio
import contextlib
import json
import pathlib
import random
import subprocess
import sys

import attrs
import pytest
from tornado import httpclient

from balsamlug_standins import members
from balsamlug_standins import object_api
from balsamlug_standins import processes
from balsamlug_standins import site
from tests import odd_values
from tests.entry import fleet as fleets
from tests.platform import samples

NODES = 2
ENGINES = 5
WAIT_S = 30.0
CALL_TIMEOUT_S = 5.0
FIELDS = ("Address", "BatchSlots", "Sequence", "group", "born", "Unknown")
SEED = 11
SETTINGS = """[entry]
id = {id}
failure_domain = z1
region = r1
address = 127.0.0.1
caller_address = 127.0.0.1:{caller}
admin_address = 127.0.0.1:{admin}
peer_address = 127.0.0.1:{peer}
platform_address = {platform}
grace_s = 4
"""


@attrs.define
class _Node:
    process: subprocess.Popen
    log: pathlib.Path
    caller: int
    admin: int

    def lines(self) -> list[dict]:
        lines = self.log.read_text().splitlines()
        return [json.loads(ln) for ln in lines if ln.startswith("{")]

    def check(self) -> None:
        """Check that the process runs and that none of its tasks has failed."""
        assert self.process.poll() is None
        kinds = {line["message_type"] for line in self.lines()}
        assert "instance_rejected" in kinds
        assert not kinds & {"task_failed", "eliot:traceback"}


def _start(number: int, platform: str, path: pathlib.Path, ports) -> _Node:
    caller, admin, peer = (ports.take() for _ in range(3))
    settings = path / f"node-{number}.ini"
    settings.write_text(
        SETTINGS.format(
            id=f"node-{number}",
            caller=caller,
            admin=admin,
            peer=peer,
            platform=platform,
        )
    )
    log = path / f"node-{number}.log"
    with log.open("w") as output:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "balsamlug",
                "entry",
                "--settings",
                str(settings),
            ],
            stdout=output,
            stderr=subprocess.STDOUT,
            cwd=processes.ROOT,
        )
    return _Node(process, log, caller, admin)


@contextlib.asynccontextmanager
async def _running(path: pathlib.Path):
    api = object_api.ObjectApi()
    platform = api.listen()
    api.write("config", "main", fleets.configuration())
    servers: dict[str, members.Member] = {}
    for number in range(ENGINES):
        members.Member(f"i-{number}", api, peers=servers).listen()
    ports = processes.Ports()
    nodes = [_start(n, platform, path, ports) for n in range(NODES)]
    try:
        yield api, servers, nodes
    finally:
        for node in nodes:
            node.process.terminate()
        for node in nodes:
            node.process.wait(WAIT_S)
        for server in servers.values():
            server.stop()
        api.stop()
        ports.release()


async def _until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.1)


async def _call(http: httpclient.AsyncHTTPClient, node: _Node) -> int:
    try:
        resp = await http.fetch(
            f"http://127.0.0.1:{node.caller}/chat/1",
            method="POST",
            body=b"prompt",
            headers={
                "Host": site.HOST,
                "X-Attempt-Id": f"r-{node.caller}",
                "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
                "X-Model": site.MODEL,
                "X-Token-Count": "100,20",
                "Api-Key": fleets.KEY,
            },
            raise_error=False,
            request_timeout=CALL_TIMEOUT_S,
        )
    except OSError:
        # The node does not listen yet.
        return 0
    return resp.code


async def _serve(nodes: list[_Node]) -> None:
    """Wait until every node serves."""
    http = httpclient.AsyncHTTPClient(force_instance=True)

    async def serves() -> bool:
        codes = await asyncio.gather(*(_call(http, node) for node in nodes))
        return set(codes) == {200}

    await _until(serves)
    http.close()


def _odd_entries(address: str) -> dict[str, object_api.RawSpec]:
    """Return entries for every odd value, each in one of the fields."""
    rng = random.Random(SEED)
    entries = {}
    for number, (name, value) in enumerate(odd_values.VALUES.items()):
        field = rng.choice(FIELDS)
        raw = odd_values.entry(field, value)
        raw = raw.replace(samples.ENTRY["Address"].encode(), address.encode())
        raw = raw.replace(b'"Domain":"d1"', b'"Domain":"odd"')
        entries[f"odd-{number} {name}"] = object_api.RawSpec(raw)
    return entries


@pytest.mark.parametrize("start", ["before", "after"])
def test_nodes_serve_and_follow_the_list_beside_odd_entries(tmp_path, start):
    async def run() -> None:
        async with _running(tmp_path) as (api, servers, nodes):
            # Nothing listens at the address of the odd entries.
            odd = _odd_entries("127.0.0.1:1")
            if start == "after":
                await _serve(nodes)
            for name, raw in odd.items():
                api.write_raw("servers", name, raw)
            await _serve(nodes)
            newest = members.Member("i-new", api, peers=servers)
            newest.listen()
            # Those that are left are too few for a group without the new one.
            for number in range(ENGINES - 2):
                servers[f"i-{number}"].become_unresponsive()
                api.remove("servers", f"i-{number}")
            await _serve(nodes)
            assert newest.history
            for name in odd:
                api.write("servers", name, samples.ENTRY | {"State": "odd"})
            for name in odd:
                api.remove("servers", name)
            await _serve(nodes)
            for node in nodes:
                node.check()

    asyncio.run(run())
