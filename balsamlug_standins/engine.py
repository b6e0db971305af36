"""Stand-in for a model engine: HTTP handlers and command line."""

import asyncio
import json
import pathlib
from typing import Annotated
import uuid

from tornado import web
import typer

from balsamlug_standins import batching
from balsamlug_standins import engine_core
from balsamlug_standins import engine_settings
from balsamlug_standins import serving


class EngineHandler(serving.JsonHandler):
    """Base class of handlers that use the engine."""

    def initialize(self, engine: engine_core.Engine) -> None:
        """Store the engine."""
        self.engine = engine


class CompletionHandler(EngineHandler):
    """Completions."""

    run: batching.Run | None = None

    async def post(self) -> None:
        """Respond with a stream of tokens or with one body."""
        req = self.body_json()
        refusal = self.engine.refusal(req)
        if refusal is not None:
            self.answer({"error": refusal[1]}, refusal[0])
            return
        try:
            self.run = self.engine.batcher.submit(req)
        except (KeyError, TypeError, ValueError) as exc:
            self.answer({"error": "malformed", "detail": str(exc)}, 400)
            return
        if req.get("stream"):
            await self._stream(self.run)
        else:
            await self._collect(self.run)

    def on_connection_close(self) -> None:
        """End the run when its caller has disconnected."""
        if self.run is not None:
            self.run.end("disconnected")

    async def _stream(self, run: batching.Run) -> None:
        self.set_header("Content-Type", "text/event-stream")
        started = False
        while (token := await run.tokens.get()) is not None:
            started = True
            self.write(f"data: {json.dumps(token)}\n\n")
            await self.flush()
        if run.state == "done":
            self.write("data: [DONE]\n\n")
            await self.finish()
        else:
            self._abort(run, started)

    async def _collect(self, run: batching.Run) -> None:
        tokens = []
        while (token := await run.tokens.get()) is not None:
            tokens.append(token)
        if run.state != "done":
            self._abort(run, started=False)
            return
        text = "".join(token["text"] for token in tokens)
        self.answer(
            {
                "request_id": run.request_id,
                "index": run.resume_from,
                "tokens": len(tokens),
                "text": text,
            }
        )

    def _abort(self, run: batching.Run, started: bool) -> None:
        """End the response of a run that did not finish."""
        if run.state == "disconnected":
            return
        if started:
            self.drop()
            return
        self.set_header("Content-Type", "application/json")
        self.answer({"error": run.reason or run.state}, 503)


class CancelHandler(EngineHandler):
    """Cancellation of a request."""

    def post(self, request_id: str) -> None:
        """Cancel all runs of the request."""
        self.answer({"cancelled": self.engine.batcher.cancel(request_id)})


class StatusHandler(EngineHandler):
    """Status of the engine."""

    async def get(self) -> None:
        """Return the status."""
        await asyncio.sleep(self.engine.settings.status_delay_ms / 1000)
        self.answer(self.engine.status())


class OrdersHandler(EngineHandler):
    """Orders of the lease holder."""

    def post(self) -> None:
        """Apply an order."""
        try:
            status, body = self.engine.assignment.apply_order(self.body_json())
        except (KeyError, TypeError, ValueError) as exc:
            status, body = 400, {"error": "malformed", "detail": str(exc)}
        self.answer(body, status)


class CacheEventsHandler(EngineHandler):
    """Events of the prefix cache."""

    def get(self) -> None:
        """Return the events after a sequence number."""
        since = int(self.get_query_argument("since", "0"))
        self.answer(self.engine.cache.read_events(since))


class KvHandler(EngineHandler):
    """KV cache of a request."""

    def get(self, request_id: str) -> None:
        """Export the KV cache."""
        exported = self.engine.export_kv(request_id)
        if exported is None:
            self.answer({"error": "not_found"}, 404)
        else:
            self.answer(exported)

    def post(self, request_id: str) -> None:
        """Import a KV cache; the request then needs no prefill here."""
        body = self.body_json()
        assignment = self.engine.assignment
        if body.get("model") != [assignment.model, assignment.version]:
            self.answer({"error": "wrong_model"}, 409)
            return
        self.engine.cache.imported[request_id] = body
        self.answer({})


class RecordHandler(EngineHandler):
    """Record of all runs, for checks."""

    def get(self) -> None:
        """Return the record."""
        self.answer(self.engine.record())


def application(engine: engine_core.Engine) -> web.Application:
    """Return the HTTP application of an engine."""
    state = {"engine": engine}
    return web.Application(
        [
            (r"/v1/completions", CompletionHandler, state),
            (r"/v1/requests/([^/]+)/cancel", CancelHandler, state),
            (r"/v1/status", StatusHandler, state),
            (r"/v1/orders", OrdersHandler, state),
            (r"/v1/cache-events", CacheEventsHandler, state),
            (r"/v1/kv/([^/]+)", KvHandler, state),
            (r"/control/record", RecordHandler, state),
            (
                r"/control/settings",
                serving.SettingsHandler,
                {"settings": engine.settings},
            ),
        ],
        log_function=lambda handler: None,
    )


def main(
    port: Annotated[int, typer.Option()],
    instance: Annotated[str, typer.Option()],
    incarnation: Annotated[str, typer.Option()] = "",
    settings: Annotated[
        str, typer.Option(help="EngineSettings as JSON")
    ] = "{}",
    record_file: Annotated[pathlib.Path | None, typer.Option()] = None,
) -> None:
    """Run an engine stand-in."""

    async def serve() -> None:
        engine = engine_core.Engine(
            instance,
            incarnation or uuid.uuid4().hex[:8],
            engine_settings.EngineSettings(**json.loads(settings)),
            record_file,
        )
        loops = asyncio.create_task(engine.run())
        await serving.run("engine", application(engine), port)
        loops.cancel()

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
