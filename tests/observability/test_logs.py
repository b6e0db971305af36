"""Guards against requests that leave no trace in the log."""

import asyncio
import json

import eliot

from tests.router import fakes


def test_one_action_for_each_request_linked_to_its_upstream():
    messages = []

    async def main():
        async with fakes.harness(1) as h:
            h.engines[0].steps = ["cut:1"]
            req = {"model": "chat", "prompt": "hi", "max_tokens": 3}
            resp, _ = await h.post(req)
            return resp.headers["X-Request-Id"], h.engines[0].headers

    def keep(message):
        messages.append(json.loads(json.dumps(message, default=str)))

    eliot.add_destinations(keep)
    try:
        request_id, headers = asyncio.run(main())
    finally:
        eliot.remove_destination(keep)
    # eliot first replays what was logged before there was a destination.
    task = next(m for m in messages if m.get("id") == request_id)["task_uuid"]
    started, ended = [m for m in messages if m["task_uuid"] == task]
    assert ended["customer"] == "vedrina"
    assert ended["outcome"] == "ok"
    assert ended["attempts"] == ["g0:cut_off", "g0:complete"]
    assert all(
        h["X-Eliot-Task"].startswith(started["task_uuid"]) for h in headers
    )
