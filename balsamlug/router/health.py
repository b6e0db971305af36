"""HTTP handlers for the platform's health checks and for metrics."""

from tornado import web

from balsamlug.observability import metrics as metrics_module
from balsamlug.router import lifecycle as lifecycles


class HealthHandler(web.RequestHandler):
    """GET /healthz: the process is running."""

    def get(self) -> None:
        """Respond with 200."""
        self.finish({"status": "ok"})


class ReadyHandler(web.RequestHandler):
    """GET /readyz: whether the node accepts requests."""

    def initialize(self, lifecycle: lifecycles.Lifecycle) -> None:
        """Store the lifecycle of the router."""
        self._lifecycle = lifecycle

    def get(self) -> None:
        """Respond with 200, or with 503 and the reason."""
        not_ready_reason = self._lifecycle.not_ready_reason()
        self.set_status(503 if not_ready_reason else 200)
        self.finish({"ready": not not_ready_reason, "reason": not_ready_reason})


class MetricsHandler(web.RequestHandler):
    """GET /metrics: metrics of the router."""

    def initialize(self, metrics: metrics_module.RouterMetrics) -> None:
        """Store the metrics of the router."""
        self._metrics = metrics

    def get(self) -> None:
        """Respond in the text exposition format."""
        self.set_header("Content-Type", metrics_module.CONTENT_TYPE)
        self.finish(self._metrics.render())
