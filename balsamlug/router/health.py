"""Handlers of the platform's health checks and of metrics."""

from tornado import web

from balsamlug.observability import metrics as metrics_module
from balsamlug.router import lifecycle as lifecycles


class HealthHandler(web.RequestHandler):
    """GET /healthz: the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish({"status": "ok"})


class ReadyHandler(web.RequestHandler):
    """GET /readyz: the node takes requests."""

    def initialize(self, lifecycle: lifecycles.Lifecycle) -> None:
        """Take the shared object."""
        self._lifecycle = lifecycle

    def get(self) -> None:
        """Answer 200, or 503 with the reason."""
        obstacle = self._lifecycle.obstacle()
        self.set_status(503 if obstacle else 200)
        self.finish({"ready": not obstacle, "reason": obstacle})


class MetricsHandler(web.RequestHandler):
    """GET /metrics."""

    def initialize(self, metrics: metrics_module.RouterMetrics) -> None:
        """Take the shared object."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer with the text exposition."""
        self.set_header("Content-Type", metrics_module.CONTENT_TYPE)
        self.finish(self._metrics.render())
