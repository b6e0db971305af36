"""Run one model server as a process of its own, which can be killed.

Usage: python3 review/server_process.py ID STORE_ADDRESS
"""

import asyncio
import http.client
import json
import sys

import attrs

from review import model_servers

HEARTBEAT_S = 1.2


@attrs.define
class RemoteStore:
    """Writes to the store over HTTP, as the servers of the platform do."""

    address: str

    def write(self, kind: str, name: str, spec: dict) -> None:
        """Write an object, replacing the version that is there."""
        conn = http.client.HTTPConnection(self.address, timeout=2.0)
        path = f"/-/objects/{kind}"
        conn.request("GET", f"{path}/{name}")
        answer = conn.getresponse()
        body = answer.read()
        metadata = {"Name": name}
        method = "POST"
        if answer.status == 200:
            current = json.loads(body)
            if current["Spec"] == spec:
                return
            metadata["Revision"] = current["Metadata"]["Revision"]
            method, path = "PUT", f"{path}/{name}"
        data = json.dumps({"Metadata": metadata, "Spec": spec})
        conn.request(method, path, data)
        conn.getresponse().read()
        conn.close()


@attrs.define(eq=False)
class LoneMember(model_servers.PacedMember):
    """Server that takes the other members of its group for sound."""

    def is_complete(self) -> bool:
        """Return whether all members are there."""
        return True

    def record_start(self, attempt_id: str) -> None:
        """Record a request and print it for the script."""
        super().record_start(attempt_id)
        print(f"runs {attempt_id}", flush=True)


async def _main(name: str, store_address: str) -> None:
    member = LoneMember(
        name,
        RemoteStore(store_address),
        domain="amhara-a-d0",
        service=model_servers.SERVICE,
        zone="amhara-a",
        slots=model_servers.SLOTS,
        warm_s=1.1,
        load_s=1.2,
        unframed=True,
    )
    member.listen()
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        member.announce()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:3]))
