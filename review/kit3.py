"""Processes, stand-ins and clients that the cases of the third review share."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, UNPLAYABLE = 1, 0, 2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
# Figures of sites/krovni-deke.
STABLE_WINDOW_S = 3.0
GRACE_S = 8
MEMORY_MB = 222
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
_PLACEHOLDER = re.compile(r"\{\{([A-Za-z.]+)\}\}")
_SECTION = re.compile(r"\{\{#([A-Za-z.]+)\}\}\n(.*?)\{\{/\1\}\}\n", re.DOTALL)


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start_s:7.2f} {text}\n")
        self._file.flush()


def _value(fields: dict, name: str) -> str:
    found = fields
    for part in name.split("."):
        found = found.get(part) if isinstance(found, dict) else None
    if isinstance(found, list):
        return ",".join(map(str, found))
    return "" if found is None else str(found)


def render(template: str, fields: dict) -> str:
    """Return the settings file that the platform makes from the template."""
    text = _SECTION.sub(
        lambda m: m[2] if _value(fields, m[1]) else "", template
    )
    return _PLACEHOLDER.sub(lambda m: _value(fields, m[1]), text)


class Node:
    """One entry process, started as the deploy file says."""

    def __init__(self, name: str, ip: str, fields: dict, folder: str) -> None:
        self.name, self.ip = name, ip
        self.caller_port = int(fields["Listen"]["Frontend"].split(":")[1])
        self.ready_port = int(fields["Listen"]["Readiness"].split(":")[1])
        self._folder = pathlib.Path(folder)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._run = role["run"].split()
        self.settings = self._folder / f"{name}.ini"
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, fields))
        self.popen: subprocess.Popen | None = None
        self.started_s = 0.0
        self._starts = 0

    def start(self) -> None:
        """Start the process."""
        self._starts += 1
        env = {"PATH": os.environ["PATH"], "HOME": str(self._folder)}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BALSAMLUG_SETTINGS"] = str(self.settings)
        out = self._folder / f"{self.name}.{self._starts}.out"
        with out.open("w") as file:
            self.popen = subprocess.Popen(
                [sys.executable, *self._run[1:]],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self.started_s = time.monotonic()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self.running():
            self.popen.send_signal(number)

    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def memory_mb(self) -> float:
        """Return the private resident memory, 0 if the process has ended."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
            found = re.search(r"^RssAnon:\s*(\d+) kB", status, re.MULTILINE)
            if found:
                return int(found[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers with 200."""
        answer = await request(self.ip, self.ready_port, "GET", "/-/readyz", {})
        return answer.status == 200


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.took_s = 0.0


def head(method: str, path: str, headers: dict[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def request(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    started_s = time.monotonic()
    headers = {"Host": HOST} | headers
    if body:
        headers["Content-Length"] = str(len(body))
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head(method, path, headers) + body)
            await read_answer(reader, answer)
    except (OSError, EOFError, ValueError, TimeoutError) as exc:
        answer.error = type(exc).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.took_s = time.monotonic() - started_s
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer, with a length or in chunks."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = raw.strip().split("\r\n")
    answer.status = int(line.split(" ")[1])
    for field in fields:
        name, _, value = field.partition(":")
        answer.headers[name.lower()] = value.strip()
    if "transfer-encoding" in answer.headers:
        while True:
            size = int(await reader.readline(), 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.complete = True


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    } | more


def configuration(
    version: int, routes: list[dict], services: list[dict]
) -> dict:
    """Return the configuration as the operator writes it."""
    tenant = {"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": LIMITS,
        "Tenants": [tenant],
    }


class Deployment:
    """Entry processes of a small deployment on addresses of their own."""

    def __init__(
        self, store: str | list[str], count: int, **bounds: object
    ) -> None:
        stores = [store] * count if isinstance(store, str) else store
        self._folder = tempfile.TemporaryDirectory(prefix="balsamlug-review-")
        rng = random.SystemRandom()
        net = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        ports = rng.sample(range(10_000, 30_000), 3)
        ips = [f"{net}.{number + 10}" for number in range(count)]
        zones = ["jadran-a", "jadran-b", "jadran-c"]
        self.nodes = []
        for number, ip in enumerate(ips):
            fields = {
                "NodeName": f"edge-{number}",
                "Zone": zones[number % len(zones)],
                "Region": "hr-jadran",
                "Ip": ip,
                "Listen": {
                    "Frontend": f"{ip}:{ports[0]}",
                    "Readiness": f"{ip}:{ports[1]}",
                    "ControlPlane": f"{ip}:{ports[2]}",
                },
                "SeedNodes": [f"{seed}:{ports[2]}" for seed in ips[:3]],
                "Platform": {"Address": stores[number]},
                "Limits": {
                    "CpuShare": 0.731,
                    "CpuCores": 1,
                    "MemoryMb": MEMORY_MB,
                    "MaxFds": 1570,
                },
                "Bounds": {
                    "GraceS": GRACE_S,
                    "RetryRatio": 0.2,
                    "RetryWindowS": 10,
                    "RetryAllowance": 282,
                }
                | bounds,
            }
            node = Node(f"edge-{number}", ip, fields, self._folder.name)
            self.nodes.append(node)

    def start(self) -> None:
        """Start all processes."""
        for node in self.nodes:
            node.start()

    async def ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all nodes are ready."""
        async with asyncio.timeout(timeout_s):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.popen is not None:
                node.popen.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self._folder.name, keep], check=False)
        self._folder.cleanup()


def play(folder: pathlib.Path, main, limit_s: float = 110.0) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)

    async def run() -> int:
        # Stand-ins that are cancelled at the end would fill the output.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(limit_s):
            return await main(record)

    try:
        code = asyncio.run(run())
    except Exception as exc:  # The case could not be played.
        record(f"could not run: {type(exc).__name__}: {exc}")
        code = UNPLAYABLE
    record(f"trouble={TROUBLE} exit={code}")
    sys.exit(code)


def as_json(value: object) -> str:
    """Return a value for the record."""
    return json.dumps(value, sort_keys=True)
