"""Decode the operator's configuration into a catalogue."""

from typing import Any

from balsamlug import catalogue
from balsamlug import state
from balsamlug.platform import figures

_KINDS = {
    "safe": catalogue.RouteKind.IDEMPOTENT,
    "unsafe": catalogue.RouteKind.NON_IDEMPOTENT,
    "streaming": catalogue.RouteKind.STREAM,
}
# Larger figures are taken for errors.
MAX_WARMUP_PER_S = 1e6
MAX_WARMUP_S = 3_600.0


def value(spec: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration value for the object `config/main`.

    Raises:
      LookupError, TypeError, ValueError: the object is malformed.
    """
    return to_value(decode(spec))


def decode(spec: dict[str, Any]) -> catalogue.Catalogue:
    """Return the catalogue in the object `config/main`.

    Raises:
      LookupError, TypeError, ValueError: the object is malformed.
    """
    return catalogue.Catalogue(
        revision=spec["Version"],
        routes=tuple(_route(raw) for raw in spec.get("Routes") or ()),
        services=tuple(_service(raw) for raw in spec.get("Services") or ()),
        customers=tuple(_customer(raw) for raw in spec.get("Tenants") or ()),
        limits=_limits(spec.get("Limits") or {}),
        # No key is accepted with an empty list; without one, none is needed.
        lists_customers=spec.get("Tenants") is not None,
    )


def to_value(decoded: catalogue.Catalogue) -> dict[str, Any]:
    """Return the configuration value that nodes exchange."""
    return {
        "revision": decoded.revision,
        state.CATALOGUE_KEY: catalogue.to_value(decoded),
    }


def _route(raw: dict[str, Any]) -> catalogue.Route:
    kind = _KINDS[raw["RouteType"]]
    return catalogue.Route(
        name=raw["Name"],
        host=raw["Hostname"],
        prefix=raw["PathPrefix"],
        targets=_targets(raw),
        kind=kind,
        timeout_ms=int(raw["TimeoutMs"]),
        target_ms=int(raw.get("TargetLatencyMs") or raw["TimeoutMs"]),
        gap_ms=int(raw.get("GapTargetMs") or 0),
        priority=int(raw.get("Priority") or 0),
        max_attempts=max(1, int(raw.get("MaxAttempts") or 1)),
        public=bool(raw.get("Public")),
        resumable=bool(raw.get("StreamResume")),
    )


def _targets(raw: dict[str, Any]) -> tuple[catalogue.Target, ...]:
    """Return the services of a route: a single one or a weighted split."""
    split = raw.get("TrafficSplit")
    if not split:
        return (catalogue.Target(raw["Service"], 1.0),)
    return tuple(
        catalogue.Target(part["Service"], float(part["Weight"]))
        for part in split
    )


def _service(raw: dict[str, Any]) -> catalogue.Service:
    engine = raw.get("Engine")
    return catalogue.Service(
        name=raw["Name"],
        max_connections=int(raw.get("MaxConnections") or 0),
        engine=_engine(engine) if engine else None,
        warmup_per_s=figures.bounded(
            raw.get("WarmupPerS"), MAX_WARMUP_PER_S, "WarmupPerS", raw["Name"]
        ),
        warmup_s=figures.bounded(
            raw.get("WarmupS"), MAX_WARMUP_S, "WarmupS", raw["Name"]
        ),
    )


def _engine(raw: dict[str, Any]) -> catalogue.Engine:
    usual = raw.get("usual") or {}
    return catalogue.Engine(
        slots=int(raw["BatchSlots"]),
        kv_tokens=int(raw.get("KvCapacity") or 0),
        steps_per_pass=int(raw.get("Stride") or 1),
        step_ms=float(raw["step_ms"]),
        request_ms=float(raw.get("per_seq_ms") or 0),
        context_ms_per_k=float(raw.get("context_per_k") or 0),
        # The rate on the wire is in tokens per second.
        prefill_tokens_per_ms=float(raw["read_per_s"]) / 1000,
        pairs_ms_per_m=float(raw.get("pairs_per_m") or 0),
        loads_per_s=float(raw.get("LoadsPerS") or 1),
        loads_at_once=int(raw.get("loads_at_once") or 1),
        form_ms=float(raw.get("FormMs") or 0),
        usual_prompt_tokens=float(usual.get("prompt") or 0),
        usual_answer_tokens=float(usual.get("answer") or 0),
        models=tuple(_model(model) for model in raw.get("Models") or ()),
    )


def _model(raw: dict[str, Any]) -> catalogue.Model:
    return catalogue.Model(
        name=raw["Name"],
        group_size=int(raw.get("size") or 1),
        share=float(raw.get("Share") or 0),
        pace=float(raw.get("pace") or 1),
        load_s=float(raw.get("LoadS") or 0),
        warm_s=float(raw.get("WarmS") or 0),
    )


def _customer(raw: dict[str, Any]) -> catalogue.Customer:
    priority = raw.get("Priority")
    return catalogue.Customer(
        name=raw["Name"],
        keys=tuple(raw.get("ApiKeys") or ()),
        priority=int(priority) if priority is not None else None,
    )


def _limits(raw: dict[str, Any]) -> catalogue.CallerLimits:
    default = catalogue.CallerLimits()
    return catalogue.CallerLimits(
        int(raw.get("MaxHeaderBytes") or default.max_header_bytes),
        _body_limit(raw, default.max_body_bytes),
        int(raw.get("HeaderTimeoutMs") or default.header_timeout_ms),
        int(raw.get("IdleTimeoutMs") or default.idle_timeout_ms),
    )


def _body_limit(raw: dict[str, Any], default: int) -> int:
    """Return the limit of bodies; with 0, no request may have one.

    0 of the other limits would refuse all requests, and is taken for absent.
    """
    limit = raw.get("MaxBodyBytes")
    return default if limit is None else int(limit)
