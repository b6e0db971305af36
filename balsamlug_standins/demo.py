"""Demonstrate the system on a fleet of real processes and check each step."""

from collections.abc import Callable
import pathlib
import sys
import tempfile
import time

import attrs

from balsamlug_standins import callers
from balsamlug_standins import control
from balsamlug_standins import fleet as fleets
from balsamlug_standins import fleet_spec
from balsamlug_standins import processes

GROUPS = 4
STREAM_TOKENS = 150
STEP_TIMEOUT_S = 20.0
EXIT_FAILED = 1


class CheckFailed(Exception):
    """A step of the demo did not have the expected result."""


@attrs.define
class Report:
    """Prints progress lines with the time since the start."""

    started_s: float = attrs.field(factory=time.monotonic)

    def print_line(self, text: str) -> None:
        """Print one line."""
        elapsed_s = time.monotonic() - self.started_s
        print(f"{elapsed_s:5.1f} s  {text}", flush=True)


def check(condition: bool, problem: str, detail: object = "") -> None:
    """Raise CheckFailed unless a condition holds."""
    if not condition:
        raise CheckFailed(f"{problem} {detail}".strip())


def specification() -> fleet_spec.FleetSpec:
    """Return the specification: two groups and a spare per fabric domain."""
    return fleet_spec.FleetSpec(
        nodes=3,
        engines={"fabric-1": 5, "fabric-2": 5},
        deployments={"chat": {"group_size": 2}},
    )


def show_groups(fleet: fleets.Fleet, report: Report) -> None:
    """Wait until every instance except the spares serves."""
    groups = fleet.wait_groups(GROUPS)
    for group_id, group in sorted(groups.items()):
        report.print_line(
            f"group {group_id} runs on {', '.join(group['members'])}"
        )
    spares = len(fleet.engines) - sum(
        len(g["members"]) for g in groups.values()
    )
    report.print_line(f"{spares} engines are spares")
    check(len(groups) == GROUPS, "expected groups:", groups)


def show_completion(fleet: fleets.Fleet, report: Report) -> None:
    """Stream one completion."""
    completion = fleet.caller("node-1").complete("Draft the allocation.", 40)
    check(
        completion.is_complete(),
        "the answer is incomplete:",
        completion.summary(),
    )
    report.print_line("a streamed completion of 40 tokens arrived completely")


def show_booking(fleet: fleets.Fleet, report: Report) -> None:
    """Send the same booking through two nodes."""
    key = callers.idempotency_key()
    body = {"student": "Liya", "slot": "Saturday 09:00"}
    calls = [
        fleet.caller(node).call_service("booking", "book", key, body)
        for node in ("node-1", "node-2")
    ]
    check(all(c[0] == 200 for c in calls), "a booking failed:", calls)
    check(calls[0] == calls[1], "the answers differ:", calls)
    runs = fleet.service_record("booking")["runs"]
    check(len(runs) == 1, "the booking ran more than once:", runs)
    report.print_line(
        "a booking sent twice with one key ran once; both answers are equal"
    )


def show_repair(fleet: fleets.Fleet, report: Report) -> None:
    """Kill a member of a group that serves a stream and await the repair."""
    streams = _start_streams(fleet, "node-1", count=GROUPS * 2)
    groups = fleet.ready_groups("node-2")
    group_id = _busy_group(fleet, groups)
    before = groups[group_id]
    killed = before["members"][1]
    report.print_line(
        f"before: group {group_id} is {', '.join(before['members'])}"
    )
    fleet.engines[killed].process.kill()
    report.print_line(f"killed {killed} while its group served streams")
    took_s = fleet.wait_replaced(group_id, killed, STEP_TIMEOUT_S)
    after = fleet.ready_groups("node-2")[group_id]
    report.print_line(
        f"after: group {group_id} is {', '.join(after['members'])}"
    )
    report.print_line(f"the group served again {took_s:.1f} s after the kill")
    check(killed not in after["members"], "the killed engine is still a member")
    _check_streams(streams)
    report.print_line(f"all {len(streams)} streams arrived completely")


def show_graceful_stop(fleet: fleets.Fleet, report: Report) -> None:
    """Stop a node while it relays streams."""
    node = fleet.nodes["node-3"]
    streams = _start_streams(fleet, "node-3", count=2)
    node.router.terminate()
    node.controller.terminate()
    report.print_line("sent SIGTERM to node-3 while it relayed 2 streams")
    _check_streams(streams)
    exit_codes = [
        process.wait_ended(STEP_TIMEOUT_S)
        for process in (node.router, node.controller)
    ]
    check(exit_codes == [0, 0], "node-3 exited with", exit_codes)
    report.print_line("both streams arrived completely, then node-3 exited")
    completion = fleet.caller("node-1").complete("Is there a lesson?", 10)
    check(completion.is_complete(), "node-1 failed:", completion.summary())
    report.print_line("node-1 still serves requests")


STEPS: tuple[Callable[[fleets.Fleet, Report], None], ...] = (
    show_groups,
    show_completion,
    show_booking,
    show_repair,
    show_graceful_stop,
)
FAILURES = (
    CheckFailed,
    control.ControlError,
    fleets.WaitTimeout,
    processes.ProcessFailed,
)


def run(directory: pathlib.Path) -> int:
    """Run all steps and return the exit code."""
    report = Report()
    report.print_line(
        "starting 3 nodes, 10 engines in 2 fabric domains, a service"
    )
    try:
        with fleets.Fleet(specification(), directory) as fleet:
            for step in STEPS:
                step(fleet, report)
    except FAILURES as exc:
        print(f"demo: failed: {type(exc).__name__}: {exc}", flush=True)
        return EXIT_FAILED
    print("demo: ok", flush=True)
    return 0


def _start_streams(
    fleet: fleets.Fleet, node: str, count: int
) -> list[callers.Completion]:
    """Start streams and wait until each has its first tokens."""
    caller = fleet.caller(node)
    streams = [
        caller.start(f"Plan week {number}.", STREAM_TOKENS)
        for number in range(count)
    ]
    callers.wait_tokens(streams, 5, STEP_TIMEOUT_S)
    running = [not s.ended.is_set() for s in streams]
    check(all(running), "a stream ended early:", [s.summary() for s in streams])
    return streams


def _check_streams(streams: list[callers.Completion]) -> None:
    callers.wait_all(streams, STEP_TIMEOUT_S)
    broken = [s.summary() for s in streams if not s.is_complete()]
    check(not broken, "streams are incomplete:", broken)


def _busy_group(fleet: fleets.Fleet, groups: dict[str, dict]) -> str:
    """Return the id of a group whose head is running a request."""
    for group_id, group in sorted(groups.items()):
        record = control.get(
            fleet.engines[group["members"][0]].port, "/control/record"
        )
        if any(run["state"] == "running" for run in record["requests"]):
            return group_id
    raise CheckFailed("no group is running a request")


def main() -> None:
    """Run the demo in a temporary directory."""
    processes.exit_on_sigterm()
    with tempfile.TemporaryDirectory(prefix="balsamlug-demo-") as directory:
        code = run(pathlib.Path(directory))
    sys.exit(code)


if __name__ == "__main__":
    main()
