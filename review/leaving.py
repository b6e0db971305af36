"""A server of a plain service leaves some time after a disruption."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from review import kit2

SERVICE = "desk"
SERVERS = 4
WORK_S = 0.3
# The server goes on for DrainMs and a little longer.
LONGER_S = 1.0
CALLS_S = 4.0
PAUSE_S = 0.2
# The store counts as stable half a second after the machines are in touch.
CALM_S = kit2.STABLE_WINDOW_S + 0.7


async def _call(
    deployment: kit2.Deployment, entry: kit2.Entry, attempt: str
) -> kit2.Answer:
    data = kit2.request_bytes("/book/1", attempt, 1500)
    deployment.record("sent", entry=entry.name, id=attempt)
    answer = await kit2.send_once(entry.caller_port, data)
    deployment.record("answered", id=attempt, status=answer.status)
    return answer


async def _book(
    deployment: kit2.Deployment, entry: kit2.Entry, until_s: float
) -> dict[str, int]:
    """Send bookings until a time; return the status of each."""
    calls = {}
    while deployment.record.now() < until_s:
        name = f"{entry.name}.{len(calls)}"
        calls[name] = asyncio.create_task(_call(deployment, entry, name))
        await asyncio.sleep(PAUSE_S)
    return {name: (await call).status for name, call in calls.items()}


async def play(
    deployment: kit2.Deployment, disrupt: Callable[[], Awaitable[None]]
) -> bool:
    """Play the case and return whether no booking came too late."""
    record = deployment.record
    servers = [
        kit2.PlainServer(
            f"i-{number}", SERVICE, deployment.store, record, work_s=WORK_S
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    config = kit2.configuration(
        [kit2.plain_route("book", "/book/", SERVICE)], [{"Name": SERVICE}]
    )
    await deployment.start(config)
    for entry in deployment.entries:
        first = await _call(deployment, entry, f"first.{entry.name}")
        if first.status != 200:
            raise kit2.CaseCouldNotRun("bookings aren't served")
    await asyncio.sleep(1.0)
    await disrupt()
    await asyncio.sleep(CALM_S)
    leaver = servers[0]
    acknowledged_s = leaver.drain()
    limit_s = acknowledged_s + kit2.DRAIN_S
    leaving_s = kit2.DRAIN_S + LONGER_S
    asyncio.get_running_loop().call_later(leaving_s, leaver.end)
    # Nobody books meanwhile.
    await asyncio.sleep(kit2.DRAIN_S + 0.1)
    until_s = record.now() + CALLS_S
    booked = await asyncio.gather(
        *(_book(deployment, e, until_s) for e in deployment.entries)
    )
    failed = [n for got in booked for n, code in got.items() if code != 200]
    late = [name for at_s, name in leaver.arrivals if at_s > limit_s]
    cut = [run["id"] for run in leaver.runs if run["end"] is None]
    record("late", ids=",".join(late))
    record("cut_at_the_exit", ids=",".join(cut))
    record("not_answered_200", ids=",".join(failed))
    return not late
