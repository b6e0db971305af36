"""Configuration of a run, as its operator writes it."""

from collections.abc import Iterable

from balsamlug_standins import site
from soak import plan
from soak import promises
from soak import run_options
from soak import servers

SLOTS = 8
# Bound of the deployments with an evacuation.
EVACUATE_MS = 5000
# Kind of the objects with which the operator evacuates zones.
EVACUATIONS = "evacuations"
# The load of a run exceeds this rate at a cold server.
WARMUP = {"WarmupPerS": 4, "WarmupS": 6}
WARMUP_SETTINGS = {"warmup_overshoot": "1.5", "warmup_slack": "2"}
# The rate times the first setting, plus the second.
WARMUP_BOUND = 4 * 1.5 + 2
BOOKING_ROUTE = {
    "Name": promises.BOOKING,
    "Hostname": site.HOST,
    "PathPrefix": f"/{promises.BOOKING}/",
    "RouteType": "unsafe",
    "TimeoutMs": 2000,
    "Service": servers.BOOKING_SERVICE,
}


SECOND_ROUTE = site.STREAM | {
    "Name": promises.SECOND_STREAM,
    "PathPrefix": f"/{promises.SECOND_STREAM}/",
    "Service": servers.SECOND_SERVICE,
}


def add_second_service(spec: dict) -> dict:
    """Return a version with a second service like the model service."""
    services = spec["Services"]
    second = services[0] | {"Name": servers.SECOND_SERVICE}
    return spec | {
        "Routes": [*spec["Routes"], SECOND_ROUTE],
        "Services": [*services, second],
    }


def specification(
    version: int,
    keys: Iterable[str],
    warm_s: float,
    warmup: dict,
    variant: plan.Variant | None,
) -> dict:
    """Return a version of the configuration.

    Args:
      warm_s: time in which a spare joins a group.
      warmup: fields of both services.
    """
    engines = site.model_service(SLOTS)
    for model in engines["Engine"]["Models"]:
        model["WarmS"] = warm_s
    spec = site.configuration(
        version,
        _routes(variant),
        [
            engines | warmup,
            {"Name": servers.BOOKING_SERVICE} | warmup,
        ],
        keys,
    )
    if variant is not None:
        spec["Limits"] = {
            "IdleTimeoutMs": variant.idle_ms,
            "HeaderTimeoutMs": variant.head_ms,
        }
    return spec


def added_settings(
    options: run_options.Options, peers: Iterable[str]
) -> dict[str, str]:
    """Return the settings of a node that options add.

    Args:
      peers: addresses of all nodes.
    """
    added = {}
    if options.evacuations:
        added["evacuate_ms"] = str(EVACUATE_MS)
    if options.cold:
        added |= WARMUP_SETTINGS | {"peers": ",".join(peers)}
    return added


def _routes(variant: plan.Variant | None) -> list[dict]:
    if variant is None:
        return [site.STREAM, BOOKING_ROUTE]
    added = [
        site.STREAM | {"Name": f"added-{n}", "PathPrefix": f"/added-{n}/"}
        for n in range(variant.added_routes)
    ]
    return [
        site.STREAM | {"TimeoutMs": variant.stream_timeout_ms},
        BOOKING_ROUTE | {"TimeoutMs": variant.booking_timeout_ms},
        *added,
    ]
