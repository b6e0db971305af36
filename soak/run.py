"""One run of the soak: load, faults, recovery and the final checks."""

import asyncio
import collections
import pathlib
import time

import attrs

from soak import clients
from soak import environment
from soak import faults
from soak import plan
from soak import promises

# Delay between two rounds of requests with the revoked keys.
KEY_CHECK_INTERVAL_S = 0.5


@attrs.frozen
class Outcome:
    """Results of a run.

    Attributes:
      broken: broken promises, empty if all were kept.
      answers: number of answers by kind, status and completeness.
      recovered_s: time from the end of the last fault until all groups and
        nodes served again, or until the wait for them timed out.
    """

    seed: int
    broken: list[str]
    answers: collections.Counter
    recovered_s: float


async def run_seed(seed: int, series: int, directory: pathlib.Path) -> Outcome:
    """Inject the faults of a seed under load and check the promises."""
    recovered_s = 0.0
    async with environment.running(directory) as env:
        stop = asyncio.Event()
        load = _start_load(env, stop)
        planned = plan.draw_faults(
            seed, series, environment.NODES, len(env.members)
        )
        await asyncio.gather(*(faults.inject(env, fault) for fault in planned))
        faults_ended_s = time.monotonic()
        try:
            await env.wait_until(
                env.is_serving, "recovery", environment.RECOVERY_TIMEOUT_S
            )
        except environment.NotReached as exc:
            env.record.violations.append(str(exc))
        recovered_s = time.monotonic() - faults_ended_s
        stop.set()
        await asyncio.gather(*load)
        broken = env.checker.finish()
    return Outcome(seed, broken, env.checker.answer_counts, recovered_s)


def _start_load(
    env: environment.Environment, stop: asyncio.Event
) -> list[asyncio.Task]:
    kinds = [promises.STREAM] * environment.STREAMS_PER_NODE
    kinds += [promises.BOOKING] * environment.BOOKINGS_PER_NODE
    senders = [
        clients.send_requests(
            kind,
            node.caller_link.port,
            node.number,
            environment.KEY,
            env.checker.check_answer,
            stop,
        )
        for node in env.nodes
        for kind in kinds
    ]
    senders += [
        _request_with_revoked_keys(env, node, stop) for node in env.nodes
    ]
    return [asyncio.create_task(sender) for sender in senders]


async def _request_with_revoked_keys(
    env: environment.Environment, node: environment.Node, stop: asyncio.Event
) -> None:
    """Send a request with each revoked key at regular intervals."""
    while not stop.is_set():
        await asyncio.sleep(KEY_CHECK_INTERVAL_S)
        for key in list(env.revoked):
            conn = clients.Connection(node.caller_link.port, node.number)
            request_id = clients.new_request_id(promises.STREAM, node.number)
            answer = await conn.request(promises.STREAM, request_id, key)
            conn.close()
            env.checker.check_revoked_key(key, answer)
