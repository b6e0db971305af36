"""The store returns from a copy while all processes are killed."""

import asyncio
import pathlib

from review import harness
from review import model_servers

NODES = 3
# "A sound server may fall silent for a second or so and go on".
SILENT_S = 1.2
# "The store may be away for a moment and come back from a copy some seconds
# old".
AWAY_S = 0.4
RECOVER_S = 12
# Rounds of requests, one at each node, before the fault and after the bound.
ROUNDS_BEFORE, ROUNDS_AFTER = 5, 12
ROUND_S = 0.5


async def _case(deployment: harness.Deployment) -> None:
    record = deployment.record
    deployment.start_store()
    deployment.operate(model_servers.configuration(7))
    # One group and a spare.
    servers = model_servers.start(deployment, model_servers.GROUP_SIZE + 1)
    deployment.add_nodes(NODES, "amhara-a")
    await deployment.ready()
    await model_servers.wait_for_service(deployment)
    await asyncio.sleep(2 * harness.STABLE_WINDOW_MS / 1000)

    copy = deployment.store.copy()
    record.note(f"copy of the store: {_domain(deployment)}")
    await _form_again(deployment, servers)
    before = await _share_served(deployment, ROUNDS_BEFORE, "before the fault")
    record.note(f"groups: {_domain(deployment)}")

    record.note("all processes are killed")
    for node in deployment.nodes:
        node.process.kill()
        node.process.wait()
    deployment.store.down = True
    await asyncio.sleep(AWAY_S)
    if harness.disrupts():
        deployment.store.restore(copy)
        record.note(f"the store returns from the copy: {_domain(deployment)}")
    deployment.store.down = False
    # What the operator and the servers wrote is written again.
    deployment.operate(model_servers.configuration(7))
    for server in servers:
        server.announce()
    for node in deployment.nodes:
        node.start()
    await deployment.ready()
    record.note("all machines are back")

    await asyncio.sleep(RECOVER_S)
    after = await _share_served(
        deployment, ROUNDS_AFTER, f"over {RECOVER_S} s after the fault"
    )
    record.note(f"groups: {_domain(deployment)}")
    deployment.check_alive()
    if before >= 0.25 > after:
        record.violation(
            f"{after:.2f} of the requests sent later than {RECOVER_S} s after"
            f" the machines were back are served, {before:.2f} before"
        )
    for server in servers:
        record.note(f"groups of {server.id}: {server.history}")
        server.stop()


async def _form_again(
    deployment: harness.Deployment, servers: list[model_servers.PacedMember]
) -> None:
    """Let a member fall silent during streams, and wait for service."""
    head = model_servers.head(servers)
    member = next(s for s in servers if s.group and s is not head)
    streams = [
        asyncio.create_task(model_servers.stream(node.caller_port, 40))
        for node in deployment.nodes
    ]
    await asyncio.sleep(0.3)
    deployment.record.note(f"server {member.id} falls silent")
    member.unresponsive = True
    await asyncio.sleep(SILENT_S)
    member.unresponsive = False
    member.announce()
    deployment.record.note(f"server {member.id} goes on")
    await asyncio.gather(*streams)
    await model_servers.wait_for_service(deployment)


async def _share_served(
    deployment: harness.Deployment, rounds: int, when: str
) -> float:
    """Send requests to all nodes and return which share is served."""
    served = sent = 0
    for _ in range(rounds):
        answers = await asyncio.gather(
            *(model_servers.stream(n.caller_port, 2) for n in deployment.nodes)
        )
        sent += len(answers)
        served += sum(a.status == 200 and a.complete for a in answers)
        statuses = ", ".join(f"{a.request} {a.status}" for a in answers)
        deployment.record.note(f"{when}: {statuses}")
        await asyncio.sleep(ROUND_S)
    return served / sent


def _domain(deployment: harness.Deployment) -> dict:
    """Return the lease and the groups of the domain in the store."""
    item = deployment.store.table.get("domain", "amhara-a-d0")
    value = item["value"]
    groups = {
        name: (group["generation"], group["members"])
        for name, group in value["groups"].items()
    }
    lease = {key: value["lease"][key] for key in ("holder", "epoch")}
    return {"lease": lease, "groups": groups, "next": value["next_group"]}


if __name__ == "__main__":
    harness.play(str(pathlib.Path(__file__).parent), _case)
