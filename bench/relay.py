"""Measures the CPU time and latency that one router adds to streams.

A stand-in engine sends one token per stream and step, as continuous batching
does. A load process calls it directly and then through a router process over
loopback. Both measurements use the same rates in one run, so that other load
on the machine affects both. Start it with `python -m bench.relay`.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import multiprocessing
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from tornado import tcpserver
import typer

from balsamlug.messages import stream as streams
from balsamlug.messages import types
from bench import endpoints

NODE = """[node]
id = bench
site = bench
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
BASE = """
[deployment:bench]
model = bench
group_size = 1
slots = 10000
[customer:bench]
key = bench
deployments = bench
deadline_ms = 60000
"""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REPORT_PERIOD_S = 0.5
GROUPS = 6


class Controller(tcpserver.TCPServer):
    """Stand-in controller on the control link of the measured router."""

    def __init__(self, engine_port: int) -> None:
        super().__init__()
        self._engine_port = engine_port

    async def handle_stream(self, stream, address) -> None:
        """Send the configuration and then group reports at intervals."""
        conn = streams.MessageStream(stream)
        value = {"base": BASE, "overlays": {}}
        conn.send(types.ConfigUpdate(1, value))
        while not conn.closed():
            for group in range(GROUPS):
                for prober in ("p1", "p2"):
                    conn.send(self._report(f"g{group}", prober))
            await asyncio.sleep(REPORT_PERIOD_S)

    def _report(self, group: str, prober: str) -> types.GroupReport:
        address = f"{endpoints.HOST}:{self._engine_port}"
        return types.GroupReport(
            group,
            prober,
            "bench",
            1,
            True,
            False,
            "",
            address,
            [0, 0, 10000, 0, 0],
            0,
        )


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def machine_cpu_s() -> tuple[float, float]:
    """Return busy and total CPU time of the machine."""
    line = pathlib.Path("/proc/stat").read_text().partition("\n")[0]
    ticks = [int(field) for field in line.split()[1:]]
    idle = ticks[3] + ticks[4]
    return (sum(ticks) - idle) / TICKS_PER_S, sum(ticks) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) / 1024


def free_port() -> int:
    """Return a port on which no process listens."""
    with socket.socket() as sock:
        sock.bind((endpoints.HOST, 0))
        return sock.getsockname()[1]


@contextlib.contextmanager
def engine_process(gap_s: float) -> Iterator[int]:
    """Run a stand-in engine process and yield its port."""
    port = free_port()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=endpoints.run_engine, args=(port, gap_s))
    process.start()
    time.sleep(1.0)
    try:
        yield port
    finally:
        process.kill()
        process.join()


async def measure(port: int, profile: endpoints.Profile, pid: int) -> dict:
    """Run a profile against a port and measure the process `pid`."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=endpoints.run_load, args=(port, profile, child_end)
    )
    process.start()
    loop = asyncio.get_running_loop()
    assert await loop.run_in_executor(None, parent_end.recv) == "begin"
    cpu_before, start_s = cpu_s(pid), time.monotonic()
    busy_before, total_before = machine_cpu_s()
    assert await loop.run_in_executor(None, parent_end.recv) == "end"
    elapsed_s = time.monotonic() - start_s
    used_s = cpu_s(pid) - cpu_before
    memory = resident_mb(pid)
    busy, total = machine_cpu_s()
    tally = await loop.run_in_executor(None, parent_end.recv)
    process.kill()
    process.join()
    return summary(tally, elapsed_s) | {
        "cpu_share": round(used_s / elapsed_s, 3),
        "cpu_us_per_chunk": round(used_s / max(1, tally.tokens) * 1e6, 1),
        "resident_mb": round(memory, 1),
        # Latencies are not comparable when other processes use all cores.
        "machine_busy": round(
            (busy - busy_before) / max(0.01, total - total_before), 2
        ),
    }


def summary(tally: endpoints.Tally, elapsed_s: float) -> dict:
    """Return the rates and latency percentiles of a measurement."""
    latencies = sorted(tally.latencies_ns)

    def percentile_ms(share: float) -> float:
        index = min(len(latencies) - 1, int(len(latencies) * share))
        return round(latencies[index] / 1e6, 3) if latencies else 0.0

    return {
        "requests_per_s": round(tally.completed / elapsed_s, 1),
        "chunks_per_s": round(tally.tokens / elapsed_s),
        "chunks_per_read": round(tally.tokens / max(1, tally.reads), 2),
        "broken": tally.broken,
        "p50_ms": percentile_ms(0.5),
        "p95_ms": percentile_ms(0.95),
        "p99_ms": percentile_ms(0.99),
    }


@contextlib.asynccontextmanager
async def router_process(engine_port: int):
    """Run a router and its controller; yield its port and process ID."""
    caller, control = free_port(), free_port()
    controller = Controller(engine_port)
    controller.listen(control, endpoints.HOST)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "node.ini"
        log = pathlib.Path(directory) / "router.log"
        path.write_text(NODE.format(caller=caller, control=control, log=log))
        command = [sys.executable, "-m", "balsamlug", "router"]
        command += ["--settings", str(path), "--stop-delay-s", "0"]
        process = subprocess.Popen(command)
        await asyncio.sleep(2.0)
        try:
            yield caller, process.pid
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()
            controller.stop()


async def measure_idle(pid: int, port: int, seconds: float) -> dict:
    """Measure a router without requests."""
    received = "balsamlug_control_received_bytes"
    sent = "balsamlug_control_sent_bytes"
    before, cpu_before = await read_metrics(port), cpu_s(pid)
    await asyncio.sleep(seconds)
    after, cpu_after = await read_metrics(port), cpu_s(pid)
    return {
        "cpu_share": round((cpu_after - cpu_before) / seconds, 4),
        "control_in_bytes_per_s": round(
            (after[received] - before[received]) / seconds
        ),
        "control_out_bytes_per_s": round(
            (after[sent] - before[sent]) / seconds
        ),
        "resident_mb": round(resident_mb(pid), 1),
    }


async def read_metrics(port: int) -> dict[str, float]:
    """Return the metrics without labels of a router."""
    reader, writer = await asyncio.open_connection(endpoints.HOST, port)
    writer.write(
        b"GET /metrics HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"
    )
    text = (await reader.read()).decode()
    writer.close()
    lines = [line.split() for line in text.splitlines() if " " in line]
    return {
        words[0]: float(words[1])
        for words in lines
        if len(words) == 2 and words[0].startswith("balsamlug_")
    }


PROFILES = (
    endpoints.Profile("design size", 17, 247, 0.04, 10.0),
    endpoints.Profile("today", 55, 255, 0.04, 10.0),
    endpoints.Profile("saturation", 90, 255, 0.04, 10.0),
)


async def compare(profile: endpoints.Profile) -> None:
    """Print the measures of a profile, direct and through a router."""
    with engine_process(profile.gap_s) as engine_port:
        direct = await measure(engine_port, profile, os.getpid())
        async with router_process(engine_port) as (port, pid):
            routed = await measure(port, profile, pid)
    for key in ("cpu_share", "cpu_us_per_chunk", "resident_mb"):
        del direct[key]
    added = {
        key: round(routed[key] - direct[key], 3)
        for key in ("p50_ms", "p95_ms", "p99_ms")
    }
    print(json.dumps({profile.name: {"direct": direct, "router": routed}}))
    print(json.dumps({profile.name: {"added": added}}), flush=True)


async def run(names: list[str], idle_s: float) -> None:
    """Run the idle measurement and the profiles, all without names."""
    if idle_s:
        with engine_process(0.04) as engine_port:
            async with router_process(engine_port) as (port, pid):
                print(
                    json.dumps({"idle": await measure_idle(pid, port, idle_s)})
                )
    for profile in PROFILES:
        if not names or profile.name in names:
            await compare(profile)


def main(
    profile: list[str] = typer.Option([], help="profiles to run"),  # noqa: B008
    idle_s: float = typer.Option(5.0, help="seconds of the idle measurement"),
) -> None:
    """Run the measurements and print one JSON object per line."""
    asyncio.run(run(profile, idle_s))


if __name__ == "__main__":
    typer.run(main)
