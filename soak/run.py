"""One run of the soak: load, faults, recovery and the final checks."""

import asyncio
import collections
import functools
import pathlib
import random
import time

import attrs

from soak import bounds
from soak import clients
from soak import configuration
from soak import customer_changes
from soak import environment
from soak import faults as injections
from soak import layout
from soak import logs
from soak import plan
from soak import promises
from soak import refused_readers
from soak import run_options
from soak import silent_connections

# Delay between two rounds of requests with the revoked keys.
KEY_CHECK_INTERVAL_S = 0.5
# Load without faults, with which requests under a crashing part are compared.
BASELINE_S = 3.0
# Second prompt part of the requests that crash nothing.
SOUND_PART = "e4402b7d"


@attrs.frozen
class Outcome:
    """Results of a run.

    Attributes:
      broken: broken promises, empty if all were kept.
      answers: number of answers by kind, status and completeness.
      recovered_s: time from the end of the last fault until all groups and
        nodes served again, or until the wait for them timed out.
      crashing_part: what was counted under requests with a crashing part.
      observed: what was counted under evacuations and at cold servers.
    """

    seed: int
    broken: list[str]
    answers: collections.Counter
    recovered_s: float
    crashing_part: str = ""
    observed: tuple[str, ...] = ()


async def run_seed(
    seed: int,
    series: int,
    directory: pathlib.Path,
    options: run_options.Options = run_options.DEFAULT_OPTIONS,
) -> Outcome:
    """Inject the faults of a seed under load and check the promises."""
    recovered_s = 0.0
    async with environment.running(directory, options, seed) as env:
        stop = asyncio.Event()
        prompt = clients.NO_PROMPT
        planned = planned_faults(seed, series, options)
        if options.crashing_part:
            parts = clients.shared_parts(options.long_prompts)
            prompt = clients.Prompt((*parts, SOUND_PART))
        load = _start_load(env, stop, prompt)
        if options.versions:
            load += _start_idle_callers(env, stop)
        if options.customers:
            load += _start_checked_callers(env, stop)
        if options.crashing_part:
            await asyncio.sleep(BASELINE_S)
        await asyncio.gather(
            *(injections.inject(env, fault) for fault in planned)
        )
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
        for node in env.nodes:
            env.check_running(node)
        broken = _broken_promises(env, options)
        broken += logs.find_violations(directory)
        compared = ""
        if env.poisoned is not None:
            observed = _observe_crashing_part(env)
            broken += observed.violations()
            compared = str(observed)
    return Outcome(
        seed,
        broken,
        env.checker.answer_counts,
        recovered_s,
        compared,
        tuple(_observe_bounds(env)),
    )


def planned_faults(
    seed: int, series: int, options: run_options.Options
) -> tuple[plan.Fault, ...]:
    """Return the faults of a run."""
    faults = _sole_faults(seed, series, options)
    if not faults:
        faults = _usual_faults(seed, series, options)
    return faults + _added_faults(seed, series, options)


def _sole_faults(
    seed: int, series: int, options: run_options.Options
) -> tuple[plan.Fault, ...]:
    """Return the faults that an option draws in place of the usual ones."""
    if options.silent_connections:
        servers = environment.BOOKING_SERVERS
        return silent_connections.draw(seed, series, servers)
    if options.refused_readers:
        return refused_readers.draw(seed, series)
    if options.customers:
        return customer_changes.draw(seed, series)
    if not options.planned_stops:
        return ()
    nodes = layout.node_count(options)
    upgrade = plan.draw_upgrade(seed, series, nodes)
    return (
        *plan.draw_planned_stops(
            seed, series, nodes, environment.PLANNED_STOP_GRACE_S
        ),
        *(
            fault
            for fault in upgrade
            if options.production and fault.kind in plan.BUILD_KINDS
        ),
    )


def _usual_faults(
    seed: int, series: int, options: run_options.Options
) -> tuple[plan.Fault, ...]:
    nodes = layout.node_count(options)
    servers = layout.DOMAINS * environment.SERVERS_PER_DOMAIN
    faults = plan.draw_faults(seed, series, nodes, servers)
    if options.crashing_part:
        faults += (plan.draw_crashing_part(seed, series, options.long_prompts),)
    if options.restored:
        faults += plan.draw_restorations(seed, series)
    if options.silent:
        servers += environment.BOOKING_SERVERS
        faults += plan.draw_silences(seed, series, servers)
    if options.lost_generations:
        faults += (plan.draw_lost_generations(seed, series),)
    if options.production:
        faults += plan.draw_upgrade(seed, series, nodes)
    return faults


def _added_faults(
    seed: int, series: int, options: run_options.Options
) -> tuple[plan.Fault, ...]:
    """Return the faults that options add beside planned stops, too."""
    added = plan.draw_versions(seed, series) if options.versions else ()
    domains = layout.DOMAINS
    if options.evacuations:
        added += plan.draw_evacuations(seed, series, domains)
    if options.cold and not options.planned_stops:
        added += plan.draw_cold_restarts(seed, series, domains)
    return added


def _broken_promises(
    env: environment.Environment, options: run_options.Options
) -> list[str]:
    broken = env.checker.finish()
    if options.planned_stops:
        broken += env.checker.cut_requests(env.stops, env.grace_s)
    if options.versions:
        broken += env.checker.closed_requests(env.disrupted, _crashes(env))
    if options.versions and options.planned_stops:
        broken += env.checker.unanswered_requests()
    broken += _late_keys(env, options)
    broken += customer_changes.wrong_answers(
        env.answers, environment.KEY, env.episodes, env.disrupted
    )
    broken += promises.misrouted(env.all_members)
    for leave in env.leaves:
        broken += leave.late_arrivals(_arrivals(env), env.disrupted)
    for evacuation in env.evacuations:
        broken += evacuation.late_arrivals(_arrivals(env), env.disrupted)
    for number, server in enumerate(env.model_and_booking_servers):
        broken += bounds.excess_requests(
            server, number, configuration.WARMUP_BOUND, env.disrupted
        )
    return broken


def _late_keys(
    env: environment.Environment, options: run_options.Options
) -> list[str]:
    answers, revoked_s = env.key_answers, env.revoked_s
    if options.silent_connections:
        return silent_connections.late_keys(answers, revoked_s, env.disrupted)
    if options.refused_readers:
        return refused_readers.late_keys(answers, revoked_s, env.refusals)
    return []


def _arrivals(env: environment.Environment) -> list[bounds.Arrival]:
    return [
        bounds.Arrival(time_s, request_id, server.id, server.zone)
        for server in env.model_and_booking_servers
        for time_s, request_id in server.arrivals
    ]


def _observe_bounds(env: environment.Environment) -> list[str]:
    """Return what shows whether a run put the two bounds to the test."""
    observed = [e.summary(_arrivals(env)) for e in env.evacuations]
    seconds = [
        f"{server.id} {most}"
        for number, server in enumerate(env.model_and_booking_servers)
        for most in bounds.largest_seconds(server, number, env.disrupted)
        if most
    ]
    if seconds:
        observed.append(f"largest seconds of cold servers: {seconds}")
    return observed


def _observe_crashing_part(
    env: environment.Environment,
) -> promises.CrashingPart:
    runs = env.record.runs
    sound = [
        promises.Sound(answer.sent_s, answer.node, answer.request_id in runs)
        for answer in env.checker.streams
        if not answer.request_id.startswith(clients.POISONOUS)
    ]
    arrivals = [
        (time_s, int(request_id.split("-")[1]))
        for member in env.members
        for time_s, request_id in member.arrivals
        if request_id.startswith(clients.POISONOUS)
    ]
    return promises.CrashingPart(
        *env.poisoned, _crashes(env), arrivals, sound, env.disrupted
    )


def _crashes(env: environment.Environment) -> list[float]:
    return sorted(t for member in env.members for t in member.crashes)


def _start_load(
    env: environment.Environment, stop: asyncio.Event, prompt: clients.Prompt
) -> list[asyncio.Task]:
    kinds = [promises.STREAM] * environment.STREAMS_PER_NODE
    if env.second_members:
        kinds += [promises.SECOND_STREAM] * environment.STREAMS_PER_NODE
    kinds += [promises.BOOKING] * environment.BOOKINGS_PER_NODE
    senders = [
        clients.send_requests(
            kind,
            node.caller_link.port,
            node.number,
            environment.KEY,
            env.checker.check_answer,
            stop,
            prompt if kind == promises.STREAM else clients.NO_PROMPT,
        )
        for node in env.nodes
        for kind in kinds
    ]
    senders += [
        _request_with_revoked_keys(env, node, stop) for node in env.nodes
    ]
    return [asyncio.create_task(sender) for sender in senders]


def _start_idle_callers(
    env: environment.Environment, stop: asyncio.Event
) -> list[asyncio.Task]:
    senders = [
        clients.send_rarely(
            kind,
            node.caller_link.port,
            node.number,
            environment.KEY,
            env.checker.check_answer,
            stop,
            lambda: env.variant,
            random.Random(f"{kind}-{node.number}-{number}"),
        )
        for node in env.nodes
        for kind in (promises.STREAM, promises.BOOKING)
        for number in range(environment.IDLE_CALLERS_PER_NODE)
    ]
    return [asyncio.create_task(sender) for sender in senders]


def _start_checked_callers(
    env: environment.Environment, stop: asyncio.Event
) -> list[asyncio.Task]:
    """Send requests with the key of the customer, and with one of nobody."""

    def record(key: str, answer: clients.Answer) -> None:
        env.checker.check_answer(answer)
        env.answers.append((key, answer))

    senders = [
        clients.send_requests(
            kind,
            node.caller_link.port,
            node.number,
            key,
            functools.partial(record, key),
            stop,
        )
        for node in env.nodes
        for kind in (promises.STREAM, promises.BOOKING)
        for key in (environment.KEY, customer_changes.UNKNOWN_KEY)
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
            env.key_answers.append((key, answer))
