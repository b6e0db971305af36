"""Measures memory, CPU time and traffic of real controller processes.

Starts the stand-ins, nodes and engines of a site on loopback, waits for the
groups to form and samples each controller at the start and end of a period.
"""

import argparse
import json
import os
import pathlib
import re
import statistics
import tempfile
import time
import urllib.request

from balsamlug_standins import fleet as fleets
from balsamlug_standins import fleet_spec

DOMAINS = 3
GROUP_SIZE = 2
# Wait between the forming of the groups and the measurement.
SETTLE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES = re.compile(
    r'^balsamlug_peer_bytes_total\{direction="(\w+)"\} (\S+)$', re.MULTILINE
)
_CALLS = re.compile(
    r"^balsamlug_store_calls_total\{(\S+)\} (\S+)$", re.MULTILINE
)


def sample(node: fleets.Node) -> dict:
    """Return the counters of one controller process."""
    pid = node.controller.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    text = _metrics(node.ports.admin)
    sizes = dict(_BYTES.findall(text))
    return {
        "at_s": time.monotonic(),
        "rss_kb": _status_kb(status, "VmRSS"),
        "anonymous_kb": _status_kb(status, "RssAnon"),
        "threads": int(re.search(r"Threads:\s+(\d+)", status)[1]),
        "cpu_s": sum(map(int, fields.split()[11:13])) / TICKS_PER_S,
        "sent": float(sizes.get("sent", 0)),
        "received": float(sizes.get("received", 0)),
        "calls": sum(float(n) for _, n in _CALLS.findall(text)),
    }


def rates(before: dict, after: dict) -> dict:
    """Return the rates between two samples and the current memory use."""
    elapsed_s = after["at_s"] - before["at_s"]
    per_second = {
        name: (after[name] - before[name]) / elapsed_s
        for name in ("cpu_s", "sent", "received", "calls")
    }
    current = ("rss_kb", "anonymous_kb", "threads")
    return per_second | {name: after[name] for name in current}


def run(nodes: int, engines: int, seconds: float) -> dict:
    """Return median and worst values over the controllers of a fleet."""
    spec = fleet_spec.FleetSpec(
        nodes=nodes,
        engines={f"fabric-{d}": engines // DOMAINS for d in range(DOMAINS)},
        deployments={"chat": {"group_size": GROUP_SIZE}},
    )
    groups = DOMAINS * (engines // DOMAINS // GROUP_SIZE)
    with (
        tempfile.TemporaryDirectory() as directory,
        fleets.Fleet(spec, pathlib.Path(directory)) as fleet,
    ):
        fleet.wait_groups(groups, 120.0)
        time.sleep(SETTLE_S)
        before = {n: sample(node) for n, node in fleet.nodes.items()}
        time.sleep(seconds)
        usage = [rates(before[n], sample(x)) for n, x in fleet.nodes.items()]
    names = usage[0]
    return {"nodes": nodes, "engines": engines, "groups": groups} | {
        name: {
            "median": round(statistics.median(u[name] for u in usage), 4),
            "worst": round(max(u[name] for u in usage), 4),
        }
        for name in names
    }


def _metrics(port: int) -> str:
    url = f"http://127.0.0.1:{port}/metrics"
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return answer.read().decode()


def _status_kb(status: str, field: str) -> int:
    return int(re.search(rf"{field}:\s+(\d+) kB", status)[1])


def main() -> None:
    """Measure one site and print a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--engines", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print(json.dumps(run(args.nodes, args.engines, args.seconds)))


if __name__ == "__main__":
    main()
