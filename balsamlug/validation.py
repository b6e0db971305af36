"""Checks of the values inside messages whose types are already right."""

from collections.abc import Callable
import functools

from balsamlug import exceptions
from balsamlug import tables
from balsamlug.config import options
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types

MAX_NAME_LENGTH = 200
MAX_REASON_LENGTH = 2000
# Counters beyond this are broken: JSON numbers lose digits above it.
MAX_VERSION = 2**53
# 720 revisions a day reach this in eight thousand years.
MAX_CONFIG_REVISION = 2**31
# Milliseconds of the wall clock until the year 2109.
MAX_INCARNATION = 2**42
MAX_AGE_MS = 60_000
# Twice the life of a suspicion, which is checked once a second only.
MAX_SUSPICION_AGE_MS = 7_200_000
MAX_CRASHES = 1_000
MAX_LOAD = 10**9
MAX_PORT = 65_535
VERSION_KINDS = ("nodes", "config", "instances", "domains", "suspicions")
PERMIT_STEPS = ("ask", "renew", "release")
NODE_STATES = frozenset(tables.NodeState)
INSTANCE_KINDS = frozenset(tables.InstanceKind)
INSTANCE_STATES = frozenset(tables.InstanceState)
MEMBER_STATES = frozenset(tables.MemberState)
INSTANCE_TEXTS = (
    "id",
    "address",
    "fabric_domain",
    "failure_domain",
    "region",
)
_PARSE_ADDRESS: Callable = options.addresses(minimum=1).parse


@functools.singledispatch
def check(message: types.Message) -> None:
    """Check the values of a message.

    Raises:
      ProtocolError: with the reason "bad_value".
    """


@check.register(types.Hello)
@check.register(types.Heartbeat)
@check.register(types.Leaving)
def _(message: types.Hello | types.Heartbeat | types.Leaving) -> None:
    _name(message.node)
    _between(message.incarnation, 0, MAX_INCARNATION)


@check.register
def _(message: types.NodeUpdate) -> None:
    _name(message.node)
    _between(message.incarnation, 0, MAX_INCARNATION)
    _require(message.state in NODE_STATES)
    _require(len(message.region) <= MAX_NAME_LENGTH)
    _require(len(message.failure_domain) <= MAX_NAME_LENGTH)
    _address(message.peer_address)


@check.register
def _(message: types.ConfigUpdate) -> None:
    _between(message.revision, 1, MAX_CONFIG_REVISION)
    value = message.value
    # The revision stands in the message twice, so that one damaged number
    # cannot block all later revisions.
    _require(value.get("revision", message.revision) == message.revision)
    _require(isinstance(value.get("base", ""), str))
    overlays = value.get("overlays", {})
    _require(isinstance(overlays, dict))
    _require(all(_is_text_pair(pair) for pair in overlays.items()))


@check.register
def _(message: types.DomainUpdate) -> None:
    _name(message.domain)
    _between(message.version, 1, MAX_VERSION)
    _domain_value(message.value)


@check.register
def _(message: types.DomainDelta) -> None:
    _name(message.domain)
    _require(len(message.base) == renewal.KEY_BYTES)
    _between(message.version, 1, MAX_VERSION)
    _domain_value(message.changed)


@check.register
def _(message: types.InstanceUpdate) -> None:
    _between(message.revision, 0, MAX_VERSION)
    for raw in message.instances:
        instance(raw)


@check.register
def _(message: types.InstanceDelta) -> None:
    _between(message.base, 0, MAX_VERSION)
    _between(message.revision, message.base, MAX_VERSION)
    for raw in message.changed:
        instance(raw)


@check.register
def _(message: types.GroupReport) -> None:
    _name(message.group_id)
    _name(message.prober)
    _between(message.generation, 0, MAX_VERSION)
    _between(message.tick, 0, MAX_VERSION)
    _between(message.age_ms, 0, MAX_AGE_MS)
    _require(len(message.deployment) <= MAX_NAME_LENGTH)
    _require(len(message.reason) <= MAX_REASON_LENGTH)
    _require(len(message.head_address) <= MAX_NAME_LENGTH)
    for number in message.load:
        _between(number, 0, MAX_LOAD)


@check.register
def _(message: types.SuspicionUpdate) -> None:
    _name(message.fingerprint)
    _between(message.crashes, 1, MAX_CRASHES)
    _between(message.age_ms, 0, MAX_SUSPICION_AGE_MS)


@check.register
def _(message: types.GroupFault) -> None:
    _name(message.group_id)
    _between(message.generation, 0, MAX_VERSION)
    _require(len(message.reason) <= MAX_REASON_LENGTH)


@check.register
def _(message: types.RouterStats) -> None:
    _between(message.in_flight, 0, MAX_LOAD)
    _between(message.queued, 0, MAX_LOAD)
    for code, count in message.refusals.items():
        _require(isinstance(code, str) and _is_int(count) and count >= 0)


@check.register
def _(message: types.Digest) -> None:
    _between(message.config_revision, 0, MAX_CONFIG_REVISION)
    _between(message.instances_revision, 0, MAX_VERSION)
    _between(message.reports, 0, MAX_LOAD)


@check.register
def _(message: types.Versions) -> None:
    _require(message.kind in VERSION_KINDS)
    for name, version in message.versions.items():
        _require(isinstance(name, str) and _is_int(version))


@check.register
def _(message: types.ReportRefresh) -> None:
    _between(message.tree, 0, 1)
    _require(len(message.entries) % refresh.ENTRY_BYTES == 0)


@check.register
def _(message: types.LeaseRefresh) -> None:
    _between(message.tree, 0, 1)
    for entry in renewal.unpack(message.entries):
        _between(entry.version, 1, MAX_VERSION)


@check.register
def _(message: types.ReportWanted) -> None:
    _require(len(message.keys) % refresh.KEY_BYTES == 0)


@check.register
def _(message: types.PermitRequest) -> None:
    _name(message.fingerprint)
    _name(message.holder)
    _require(message.step in PERMIT_STEPS)


@check.register
def _(message: types.PermitGrant) -> None:
    _name(message.fingerprint)
    _name(message.holder)
    _between(message.retry_after_ms, 0, MAX_AGE_MS)


def instance(raw: dict) -> None:
    """Check one instance of the platform's list.

    Raises:
      ProtocolError: a field is missing or has an impossible value.
    """
    _require(isinstance(raw, dict))
    _require("id" in raw and "address" in raw and "incarnation" in raw)
    for field in INSTANCE_TEXTS:
        text = raw.get(field, "")
        _require(isinstance(text, str) and len(text) <= MAX_NAME_LENGTH)
    _name(raw["id"])
    _address(raw["address"])
    _require(isinstance(raw["incarnation"], (str, int)))
    _require(raw.get("kind") in INSTANCE_KINDS)
    _require(raw.get("state", "live") in INSTANCE_STATES)
    _between(raw.get("accelerators", 0), 0, MAX_LOAD)
    _require(isinstance(raw.get("checks_orders", False), bool))
    _require(isinstance(raw.get("service", ""), str))
    _between(raw.get("slots", 0), 0, MAX_LOAD)
    announcement(raw.get("announcement"))


def announcement(raw: object) -> None:
    """Check what an engine announces.

    Raises:
      ProtocolError: a field has an impossible value.
    """
    if raw is None:
        return
    _require(isinstance(raw, dict))
    for field in ("orders", "active", "queued"):
        _between(raw.get(field, 0), 0, MAX_VERSION)
    staged = raw.get("staged", ())
    _require(isinstance(staged, (list, tuple)))
    _require(all(isinstance(model, str) for model in staged))
    membership = raw.get("membership")
    if membership is None:
        return
    _require(isinstance(membership, dict))
    _require(membership.get("state") in MEMBER_STATES)
    for field in ("generation", "rank"):
        _between(membership.get(field), 0, MAX_VERSION)
    for field in ("group", "model"):
        _require(isinstance(membership.get(field, ""), str))


def _domain_value(value: dict) -> None:
    _lease_value(value.get("lease", {}))
    _between(value.get("next_group", 1), 0, MAX_VERSION)
    draining = value.get("draining", {})
    _require(isinstance(draining, dict))
    _require(all(_is_text_pair(pair) for pair in draining.items()))
    groups = value.get("groups", {})
    _require(isinstance(groups, dict))
    for group_id, group in groups.items():
        _require(isinstance(group_id, str) and isinstance(group, dict))
        _group_value(group)


def _lease_value(lease: object) -> None:
    _require(isinstance(lease, dict))
    for field in ("holder", "operation_id"):
        _require(isinstance(lease.get(field, ""), str))
    for field in ("epoch", "renewal", "duration_ms"):
        _between(lease.get(field, 0), 0, MAX_VERSION)


def _group_value(group: dict) -> None:
    for field in ("deployment", "model", "version"):
        _require(isinstance(group.get(field), str))
    _between(group.get("generation"), 0, MAX_VERSION)
    _texts(group.get("members"))
    # An empty group has no head to send requests to.
    _require(len(group["members"]) > 0)
    _texts(group.get("incarnations", []))
    _require(isinstance(group.get("retiring", ""), str))


def _texts(values: object) -> None:
    _require(isinstance(values, list))
    _require(all(isinstance(text, str) for text in values))


def _require(condition: bool) -> None:
    if not condition:
        raise exceptions.ProtocolError("bad_value")


def _between(number: object, minimum: int, maximum: int) -> None:
    _require(_is_int(number) and minimum <= number <= maximum)


def _is_int(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_text_pair(pair: tuple) -> bool:
    return all(isinstance(part, str) for part in pair)


def _name(text: str) -> None:
    _require(0 < len(text) <= MAX_NAME_LENGTH)


@functools.lru_cache(maxsize=4096)
def _valid_address(text: str) -> bool:
    try:
        return len(_PARSE_ADDRESS(text)) == 1
    except options.InvalidOption:
        return False


def _address(text: str) -> None:
    _require(_valid_address(text))
