"""Stand-in for a service without a model that records every run."""

import asyncio
import time
from typing import Annotated

import attrs
from tornado import web
import typer

from balsamlug_standins import serving


@attrs.define
class Behaviour:
    """Delay and failures of the service's responses.

    Attributes:
      delay_ms: duration of a run.
      failures: failures of the next calls, one per call. "refuse" answers 503
        with the outcome not_run, "close_before" closes the connection without
        running, "close_after" runs and closes the connection without a
        response, "error_after" runs and answers 500.
    """

    delay_ms: int = 0
    failures: list[str] = attrs.field(factory=list)


@attrs.define
class Service:
    """State of the service; `calls` also counts calls that did not run."""

    name: str = "service"
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    runs: list[dict] = attrs.field(factory=list)
    calls: int = 0


class CallHandler(serving.JsonHandler):
    """All paths of the service other than its control interface."""

    def initialize(self, service: Service) -> None:
        """Store the state."""
        self.service = service

    async def prepare(self) -> None:
        """Handle a call, whatever its method."""
        service = self.service
        service.calls += 1
        failures = service.behaviour.failures
        failure = failures.pop(0) if failures else ""
        if failure == "refuse":
            error = {"code": "busy", "outcome": "not_run"}
            self.answer({"error": error}, 503)
        elif failure == "close_before":
            self.drop()
        else:
            await self._run(failure)

    async def _run(self, failure: str) -> None:
        run = {
            "run": len(self.service.runs) + 1,
            "key": self.request.headers.get("Idempotency-Key", ""),
            "method": self.request.method,
            "path": self.request.path,
            "body": self.request.body.decode(errors="replace"),
            "started_at_ms": int(time.time() * 1000),
        }
        self.service.runs.append(run)
        await asyncio.sleep(self.service.behaviour.delay_ms / 1000)
        if failure == "close_after":
            self.drop()
        elif failure == "error_after":
            self.answer({"error": "failed", "run": run["run"]}, 500)
        else:
            self.answer({"service": self.service.name} | run)


class RecordHandler(serving.JsonHandler):
    """Record of all runs, for checks."""

    def initialize(self, service: Service) -> None:
        """Store the state."""
        self.service = service

    def get(self) -> None:
        """Return the runs in order and the number of calls."""
        self.answer({"runs": self.service.runs, "calls": self.service.calls})


def application(service: Service) -> web.Application:
    """Return the HTTP application of a service."""
    state = {"service": service}
    return web.Application(
        [
            (
                r"/control/behaviour",
                serving.SettingsHandler,
                {"settings": service.behaviour},
            ),
            (r"/control/record", RecordHandler, state),
            (r"/.*", CallHandler, state),
        ],
        log_function=lambda handler: None,
    )


def main(
    port: Annotated[int, typer.Option()],
    name: Annotated[str, typer.Option()] = "service",
) -> None:
    """Run the service stand-in."""
    app = application(Service(name))
    asyncio.run(serving.run("service", app, port))


if __name__ == "__main__":
    typer.run(main)
