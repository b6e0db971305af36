"""Specification of a test fleet and the files that its processes read."""

import configparser
import hashlib
import io
import json
import pathlib
from typing import Self

import attrs

from balsamlug_standins import processes
from balsamlug_standins import serving

SITE = "site-a"
REGION = "region-1"
FAILURE_DOMAINS = ("rack-1", "rack-2", "rack-3")
CUSTOMERS = ("cinema", "depot")


@attrs.define
class FleetSpec:
    """Processes to start and their settings.

    Attributes:
      nodes: number of entry instances.
      engines: number of engines by fabric domain.
      deployments: options of the configuration section, by deployment name.
      services: options other than the addresses, by service name.
      engine_settings: fields of EngineSettings.
      platform_faults: fields of platform.Faults, set before the nodes start.
      proxied: which of "engines", "services" and "platform" are reached
        through the proxy; each node has a separate route to the platform.
    """

    nodes: int = 3
    engines: dict[str, int] = attrs.field(
        factory=lambda: {"fabric-1": 5, "fabric-2": 5}
    )
    deployments: dict[str, dict] = attrs.field(
        factory=lambda: {"chat": {"group_size": 2}}
    )
    services: dict[str, dict] = attrs.field(
        factory=lambda: {"booking": {"idempotent": "no"}}
    )
    engine_settings: dict = attrs.field(factory=dict)
    platform_faults: dict = attrs.field(factory=dict)
    proxied: tuple[str, ...] = ()


@attrs.frozen
class NodePorts:
    """Ports of one node."""

    caller: int
    control: int
    peer: int
    admin: int

    @classmethod
    def take(cls, ports: processes.Ports) -> Self:
        """Reserve the ports of a node."""
        return cls(*(ports.take() for _ in attrs.fields(cls)))


def customer_key(name: str) -> str:
    """Return the API key of a customer."""
    return f"key-{name}"


def failure_domain(index: int) -> str:
    """Return the failure domain of the n-th node or engine."""
    return FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]


def write_node_settings(
    path: pathlib.Path,
    index: int,
    ports: NodePorts,
    platform_port: int,
    peers: list[int],
) -> None:
    """Write the settings file of a node."""
    options = {
        "id": path.stem,
        "site": SITE,
        "region": REGION,
        "failure_domain": failure_domain(index),
        "address": serving.HOST,
        "caller_port": ports.caller,
        "control_port": ports.control,
        "peer_port": ports.peer,
        "admin_port": ports.admin,
        "platform": f"http://{serving.HOST}:{platform_port}",
        "peers": ", ".join(f"{serving.HOST}:{port}" for port in peers),
        "log_file": path.with_suffix(".log"),
    }
    path.write_text(_ini({"node": options}))


def configuration(spec: FleetSpec, service_ports: dict[str, int]) -> dict:
    """Return the first value of the object `config/current`."""
    sections: dict[str, dict] = {"limits": {"max_queue": 256}}
    for name, options in spec.deployments.items():
        sections[f"deployment:{name}"] = {"model": f"model-{name}"} | options
    deployments = ", ".join(spec.deployments)
    for name in CUSTOMERS:
        sections[f"customer:{name}"] = {
            "key": customer_key(name),
            "deployments": deployments,
        }
    for name, options in spec.services.items():
        address = f"{serving.HOST}:{service_ports[name]}"
        sections[f"service:{name}"] = {"addresses": address} | options
    return config_value(1, _ini(sections), {SITE: ""})


def config_value(revision: int, base: str, overlays: dict[str, str]) -> dict:
    """Return a configuration whose history holds only its own revision."""
    texts = json.dumps([base, overlays], sort_keys=True)
    entry = {
        "revision": revision,
        "author": "fleet",
        "digest": hashlib.sha256(texts.encode()).hexdigest(),
        "operation_id": f"fleet-{revision}",
    }
    return entry | {"base": base, "overlays": overlays, "history": [entry]}


def _ini(sections: dict[str, dict]) -> str:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()
