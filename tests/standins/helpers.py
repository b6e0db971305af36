"""Run a stand-in inside the test process."""

import asyncio
import contextlib
import json

from tornado import httpclient
from tornado import simple_httpclient

from balsamlug_standins import serving

SOON_S = 5.0


class Client:
    """JSON over HTTP to one application."""

    def __init__(self, port):
        self.address = f"{serving.HOST}:{port}"
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100
        )

    async def call(self, path, method="GET", body=None, timeout_s=SOON_S):
        """Return status and body of an answer."""
        resp = await self._http.fetch(
            f"http://{self.address}{path}",
            method=method,
            body=json.dumps(body) if body is not None else None,
            request_timeout=timeout_s,
            raise_error=False,
        )
        return resp.code, json.loads(resp.body or b"null")

    async def post(self, path, **body):
        """Post a body made of the arguments."""
        return await self.call(path, "POST", body)

    async def stream(self, path, **body):
        """Return the data of each event, and whether [DONE] came.

        A broken connection ends the stream like any other end.
        """
        text = ""

        def collect(chunk):
            nonlocal text
            text += chunk.decode()

        with contextlib.suppress(httpclient.HTTPError, OSError):
            await self._http.fetch(
                f"http://{self.address}{path}",
                method="POST",
                body=json.dumps(body),
                streaming_callback=collect,
                raise_error=False,
            )
        events = [line[6:] for line in text.split("\n\n") if line]
        done = events[-1:] == ["[DONE]"]
        return [json.loads(e) for e in events if e != "[DONE]"], done


@contextlib.asynccontextmanager
async def served(app):
    """Serve an application and yield its client."""
    server, port = serving.listen(app)
    try:
        yield Client(port)
    finally:
        server.stop()


async def eventually(condition, timeout_s=SOON_S):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
