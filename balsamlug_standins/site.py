"""Configuration of a small site, as the operator of the platform writes it."""

from collections.abc import Iterable

HOST = "ficu95.example"
MODEL = "daka"
MODEL_SERVICE = "model-service"
GROUP_SIZE = 3
STREAM = {
    "Name": "chat",
    "Hostname": HOST,
    "PathPrefix": "/chat/",
    "RouteType": "streaming",
    "TimeoutMs": 5000,
    "TargetLatencyMs": 400,
    "GapTargetMs": 250,
    "Service": MODEL_SERVICE,
    "MaxAttempts": 2,
    "StreamResume": True,
}


def model_service(slots: int) -> dict:
    """Return a model service whose engines run `slots` requests at once."""
    model = {"Name": MODEL, "size": GROUP_SIZE, "Share": 1.0, "WarmS": 0.05}
    engine = {
        "BatchSlots": slots,
        "KvCapacity": 100_000,
        "Stride": 2,
        "Models": [model],
        "step_ms": 5.0,
        "read_per_s": 50_000.0,
        "LoadsPerS": 50,
        "loads_at_once": 8,
        "usual": {"prompt": 100, "answer": 20},
        "FormMs": 1.0,
    }
    return {"Name": MODEL_SERVICE, "Engine": engine}


def configuration(
    version: int,
    routes: Iterable[dict],
    services: Iterable[dict],
    keys: Iterable[str],
) -> dict:
    """Return the operator's configuration object with one customer."""
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": list(services),
        "Tenants": [{"Name": "customer", "ApiKeys": list(keys)}],
    }
