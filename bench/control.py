"""Measures the traffic and CPU time of controllers by size of the system.

The nodes run as objects in a few worker processes (`bench.control_worker`)
and exchange messages over loopback sockets. Rates are per node and second.
"""

import argparse
import collections
import json
import statistics
import subprocess
import sys
import time

import attrs

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.membership import trees
from balsamlug_standins import processes

PROCESSES = 4
# Wait between the last configuration change and the measurement.
SETTLE_S = 8.0
CONFIG_BYTES = 20_000
VIEW_TIMEOUT_S = 90.0
NOBODY = "none"
REFUSED = (NOBODY, "readers", "all")
CONFIG_TIMEOUT_S = 15.0
# Nodes, groups, fabric domains and engine instances.
SIZES = (
    (12, 9, 3, 70),
    (30, 9, 3, 70),
    (60, 9, 3, 70),
    (120, 9, 3, 70),
    (60, 0, 0, 70),
    (60, 75, 3, 70),
    (60, 150, 3, 70),
    (60, 9, 20, 70),
    (60, 9, 3, 600),
    (120, 75, 20, 600),
)


@attrs.frozen
class Size:
    """One size of the system.

    Attributes:
      servers: engine instances in the list of the platform.
    """

    nodes: int
    groups: int
    domains: int
    servers: int


class Run:
    """The worker processes of one measurement."""

    def __init__(self, size: Size, processes: int, by_type: bool) -> None:
        self.size = size
        self.by_type = by_type
        settings = node_settings(size.nodes)
        self.workers = [
            self._spawn(settings[i::processes], settings)
            for i in range(processes)
        ]

    def _spawn(
        self, local_nodes: list[dict], all_nodes: list[dict]
    ) -> subprocess.Popen:
        spec = {
            "nodes": local_nodes,
            "names": [s["id"] for s in all_nodes],
            "groups": self.size.groups,
            "domains": self.size.domains,
            "instances": self.size.servers,
            "by_type": self.by_type,
        }
        worker = subprocess.Popen(
            [sys.executable, "-m", "bench.control_worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        worker.stdin.write(json.dumps(spec) + "\n")
        worker.stdin.flush()
        return worker

    def send_command(self, command: str) -> list[dict]:
        """Send a command to every worker and return the answers."""
        for worker in self.workers:
            worker.stdin.write(command + "\n")
            worker.stdin.flush()
        return [json.loads(worker.stdout.readline()) for worker in self.workers]

    def joined_answer(self, command: str) -> dict:
        """Send a command and return the merged answers of all workers."""
        joined: dict = {}
        for answer in self.send_command(command):
            joined |= answer
        return joined

    def wait_until(self, command: str, done, timeout_s: float) -> dict:
        """Repeat a command until `done` accepts its answer or time runs out."""
        end_s = time.monotonic() + timeout_s
        while True:
            answer = self.joined_answer(command)
            if done(answer) or time.monotonic() > end_s:
                return answer
            time.sleep(0.1)

    def stop(self) -> None:
        """Stop the worker processes."""
        self.send_command("stop")
        for worker in self.workers:
            worker.wait(timeout=20)


def node_settings(count: int) -> list[dict]:
    """Return the settings of nodes in six failure domains of two regions."""
    reserved = processes.Ports()
    ports = [reserved.take() for _ in range(count)]
    reserved.release()
    seeds = [f"127.0.0.1:{port}" for port in ports[:3]]
    return [
        {
            "id": f"node-{number:03d}",
            "site": "vedrina",
            "region": f"region-{number % 2}",
            "failure_domain": f"fd-{number % 6}",
            "address": "127.0.0.1",
            "caller_port": 1,
            "control_port": 1,
            "peer_port": port,
            "admin_port": 1,
            "platform": "http://127.0.0.1:1",
            "peers": seeds,
        }
        for number, port in enumerate(ports)
    ]


def measure(
    size: Size, seconds: float, by_type: bool, refused: str = NOBODY
) -> dict:
    """Run the controllers of one size and return the measured values.

    Args:
      refused: one of `REFUSED`: nodes that the store turns away.
    """
    run = Run(size, min(PROCESSES, size.nodes), by_type)
    try:
        return _measure(run, size, seconds, refused)
    finally:
        run.stop()


def _measure(run: Run, size: Size, seconds: float, refused: str) -> dict:
    started_s = time.monotonic()
    run.wait_until(
        "view",
        lambda v: set(v.values()) == {size.nodes},
        VIEW_TIMEOUT_S,
    )
    agreed_s = time.monotonic() - started_s
    config_s = sorted(_time_config(run, revision) for revision in (1, 2, 3))
    time.sleep(SETTLE_S)
    if refused != NOBODY:
        run.send_command(f"refuse {refused}")
        time.sleep(SETTLE_S)
    run.send_command("begin")
    time.sleep(seconds)
    answers = run.send_command("end")
    rates = {}
    for answer in answers:
        rates |= answer["rates"]
    return attrs.asdict(size) | {
        "refused": refused,
        "agreed_s": round(agreed_s, 2),
        "config_s": [round(s, 2) for s in config_s],
        "cpu_percent": _cpu_percent(answers, size),
        "rss_kb_worker": max(a["rss_kb"] for a in answers),
        "fresh_reports": min(a["fresh_reports"] for a in answers),
        "sent": _median_and_worst([r[0] for r in rates.values()]),
        "received": _median_and_worst([r[1] for r in rates.values()]),
        "both": _median_and_worst([r[0] + r[1] for r in rates.values()]),
        "protocol_errors": [a["protocol_errors"] for a in answers],
        "most_links": max(a["links"] for a in answers),
        "sent_by_type": _by_type(answers, size),
        "store_calls": _total([r[2] for r in rates.values()]),
        "store_bytes": _total([r[3] for r in rates.values()]),
    }


def _cpu_percent(answers: list[dict], size: Size) -> float:
    return round(100 * sum(a["cpu"] for a in answers) / size.nodes, 3)


def _by_type(answers: list[dict], size: Size) -> dict:
    """Return the mean bytes that a node sends, by message type."""
    joined: collections.Counter = collections.Counter()
    for answer in answers:
        joined.update(answer["types"])
    return {name: round(n / size.nodes) for name, n in joined.most_common()}


def _time_config(run: Run, revision: int) -> float:
    answers = run.send_command(f"configure {revision} {CONFIG_BYTES}")
    at_s = min(answer["at_s"] for answer in answers)
    received_at_s = run.wait_until(
        f"in_force {revision}", lambda a: all(a.values()), CONFIG_TIMEOUT_S
    )
    return max((t or float("inf")) - at_s for t in received_at_s.values())


def _median_and_worst(values: list[float]) -> dict:
    return {
        "median": round(statistics.median(values)),
        "worst": round(max(values)),
    }


def _total(values: list[float]) -> float:
    return round(sum(values), 1)


def tree_costs(nodes: int = 360) -> dict:
    """Return the milliseconds that computing the broadcast trees takes."""
    now_s = clocks.SystemClock().monotonic
    state = fleet.FleetState("vedrina")
    for number in range(nodes):
        name = f"node-{number:03d}"
        state.nodes[name] = tables.Node(
            name, 1, "r", f"fd-{number % 6}", "127.0.0.1:1"
        )
    live = state.live_nodes()
    trees.adjacency(live, 0)
    started_s = now_s()
    for tree in trees.TREES:
        trees.neighbours("node-000", live, tree)
    return {"rebuild_ms": round((now_s() - started_s) * 1000, 2)}


def main() -> None:
    """Measure every size and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--size",
        action="append",
        help="nodes,groups,domains,servers; default: all built-in sizes",
    )
    parser.add_argument(
        "--by-type",
        action="store_true",
        help="count the bytes of each message type, which adds CPU time",
    )
    parser.add_argument(
        "--refuse",
        choices=REFUSED,
        default=NOBODY,
        help="nodes that the store turns away during the measurement",
    )
    args = parser.parse_args()
    sizes = [Size(*map(int, text.split(","))) for text in args.size or ()]
    print(json.dumps({"pure": tree_costs()}), flush=True)
    for size in sizes or [Size(*numbers) for numbers in SIZES]:
        measured = measure(size, args.seconds, args.by_type, args.refuse)
        print(json.dumps(measured), flush=True)


if __name__ == "__main__":
    main()
