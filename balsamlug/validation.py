"""Validation of the values in messages whose types are already checked.

A message is validated before it is applied to the state.
"""

import functools

from balsamlug import addresses
from balsamlug import clock as clocks
from balsamlug import encodable
from balsamlug import evacuations
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import retention
from balsamlug import store_reads
from balsamlug import suspicions
from balsamlug import tables
from balsamlug.messages import refresh
from balsamlug.messages import renewal
from balsamlug.messages import types
from balsamlug.store import positions

MAX_NAME_LENGTH = 200
MAX_REASON_LENGTH = 2000
# Larger counters are invalid: JSON numbers lose digits above this value.
MAX_VERSION = 2**53
MAX_POSITION = positions.POSITION_LIMIT
MAX_LIST_REVISION = positions.LIST_REVISION_LIMIT
# Operators choose the revisions, such as dates or timestamps in nanoseconds.
MAX_CONFIG_REVISION = encodable.MAX_INTEGER
# Incarnations are wall clock milliseconds, also of a clock that is wrong.
MAX_INCARNATION = MAX_VERSION
MAX_AGE_MS = 60_000
# Twice the longest retention, which is checked only once a second.
MAX_SUSPICION_AGE_MS = int(2 * retention.MAX_RETENTION_S * clocks.MS_PER_S)
MAX_CRASHES = 1_000
MAX_LOAD = 10**9
MAX_PORT = 65_535
MAX_STAGED = 256
VERSION_KINDS = (
    *("nodes", "config", "instances", "domains", "suspicions"),
    "evacuations",
)
PERMIT_STEPS = ("ask", "renew", "release")
NODE_STATES = frozenset(tables.NodeState)
INSTANCE_KINDS = frozenset(tables.InstanceKind)
INSTANCE_STATES = frozenset(tables.InstanceState)
MEMBER_STATES = frozenset(tables.MemberState)
INSTANCE_TEXT_FIELDS = (
    "id",
    "address",
    "fabric_domain",
    "failure_domain",
    "region",
    "service",
)


@functools.singledispatch
def check(message: types.Message) -> None:
    """Validate the values of a message.

    Raises:
      MessageRejected: with the reason "bad_value".
    """


@check.register(types.Hello)
@check.register(types.Heartbeat)
@check.register(types.Leaving)
def _(message: types.Hello | types.Heartbeat | types.Leaving) -> None:
    _check_name(message.node)
    _check_range(message.incarnation, 0, MAX_INCARNATION)


@check.register
def _(message: types.TunnelRequest) -> None:
    _check_name(message.node)
    _require(0 < len(message.address) <= MAX_NAME_LENGTH)


@check.register
def _(message: types.TunnelReply) -> None:
    _require(message.status in types.TUNNEL_STATUSES)


@check.register
def _(message: types.UpstreamNotice) -> None:
    _require(len(message.key) == limit_table.KEY_BYTES)
    _check_range(message.pause_ms, 0, notices.MAX_PAUSE_MS)


@check.register
def _(message: types.NodeUpdate) -> None:
    _check_name(message.node)
    _check_range(message.incarnation, 0, MAX_INCARNATION)
    _require(message.state in NODE_STATES)
    _require(len(message.region) <= MAX_NAME_LENGTH)
    _require(len(message.failure_domain) <= MAX_NAME_LENGTH)
    _check_address(message.peer_address)


@check.register
def _(message: types.ConfigUpdate) -> None:
    _check_range(message.revision, 1, MAX_CONFIG_REVISION)
    value = message.value
    _check_encodable(value)
    # A message contains the revision twice, so that one corrupted number cannot
    # block all later revisions.
    _require(value.get("revision", message.revision) == message.revision)
    _require(isinstance(value.get("base", ""), str))
    overlays = value.get("overlays", {})
    _require(isinstance(overlays, dict))
    _require(all(_is_text_pair(pair) for pair in overlays.items()))


@check.register
def _(message: types.ConfigDelta) -> None:
    _check_range(message.base, 1, MAX_CONFIG_REVISION)
    _check_range(message.revision, message.base + 1, MAX_CONFIG_REVISION)


@check.register
def _(message: types.DomainUpdate) -> None:
    _check_name(message.domain)
    _check_range(message.version, 1, MAX_POSITION)
    _check_domain(message.value)


@check.register
def _(message: types.DomainDelta) -> None:
    _check_name(message.domain)
    _require(len(message.base) == renewal.KEY_BYTES)
    _check_range(message.version, 1, MAX_POSITION)
    _check_domain(message.changed)


@check.register
def _(message: types.InstanceUpdate) -> None:
    _check_range(message.revision, 0, MAX_LIST_REVISION)
    for raw in message.instances:
        check_instance(raw)


@check.register
def _(message: types.InstanceDelta) -> None:
    _check_range(message.base, 0, MAX_LIST_REVISION)
    _check_range(message.revision, message.base, MAX_LIST_REVISION)
    for raw in message.changed:
        check_instance(raw)


@check.register
def _(message: types.GroupReport) -> None:
    _check_name(message.group_id)
    _check_name(message.prober)
    _check_range(message.generation, 0, MAX_VERSION)
    _check_range(message.tick, 0, MAX_VERSION)
    _check_range(message.age_ms, 0, MAX_AGE_MS)
    _require(len(message.deployment) <= MAX_NAME_LENGTH)
    _require(len(message.reason) <= MAX_REASON_LENGTH)
    _require(len(message.head_address) <= MAX_NAME_LENGTH)
    for number in message.load:
        _check_range(number, 0, MAX_LOAD)


@check.register
def _(message: types.SuspicionUpdate) -> None:
    _check_name(message.fingerprint)
    _check_range(message.crashes, 1, MAX_CRASHES)
    _check_range(message.age_ms, 0, MAX_SUSPICION_AGE_MS)


@check.register
def _(message: types.GroupFault) -> None:
    _check_name(message.group_id)
    _check_range(message.generation, 0, MAX_VERSION)
    _require(len(message.reason) <= MAX_REASON_LENGTH)


@check.register
def _(message: types.RouterStats) -> None:
    _check_range(message.in_flight, 0, MAX_LOAD)
    _check_range(message.queued, 0, MAX_LOAD)
    for code, count in message.refusals.items():
        _require(isinstance(code, str) and _is_int(count) and count >= 0)


@check.register
def _(message: types.Digest) -> None:
    _check_range(message.config_revision, 0, MAX_CONFIG_REVISION)
    _check_range(message.instances_revision, 0, MAX_LIST_REVISION)
    _check_range(message.reports, 0, MAX_LOAD)
    _check_range(message.evacuations, 0, MAX_POSITION)


@check.register
def _(message: types.EvacuationUpdate) -> None:
    _check_range(message.position, 1, MAX_POSITION)
    _require(len(message.domains) <= evacuations.MAX_DOMAINS)
    for domain in message.domains:
        _check_name(domain)
        _check_text(domain)


@check.register
def _(message: types.StoreRead) -> None:
    _require(len(message.reader) == store_reads.READER_BYTES)
    _check_range(message.tier, 0, store_reads.MAX_TIER)
    _check_range(message.tick, 1, MAX_VERSION)
    _check_range(message.age_ms, 0, MAX_AGE_MS)


@check.register
def _(message: types.CrashedPrompt) -> None:
    _check_name(message.crash)
    _check_range(message.age_ms, 0, MAX_AGE_MS)
    _require(bool(message.parts))
    _require(len(message.parts) % suspicions.PART_BYTES == 0)


@check.register(types.Versions)
@check.register(types.VersionsPart)
def _(message: types.Versions | types.VersionsPart) -> None:
    _require(message.kind in VERSION_KINDS)
    for name, version in message.versions.items():
        _require(isinstance(name, str) and _is_int(version))


@check.register
def _(message: types.ReportRefresh) -> None:
    _check_range(message.tree, 0, 1)
    _require(len(message.entries) % refresh.ENTRY_BYTES == 0)


@check.register
def _(message: types.LeaseRefresh) -> None:
    _check_range(message.tree, 0, 1)
    for entry in renewal.unpack(message.entries):
        _check_range(entry.version, 1, MAX_POSITION)


@check.register
def _(message: types.ReportRequest) -> None:
    _require(len(message.keys) % refresh.KEY_BYTES == 0)


@check.register
def _(message: types.PermitRequest) -> None:
    _check_name(message.fingerprint)
    _check_name(message.holder)
    _require(message.step in PERMIT_STEPS)


@check.register
def _(message: types.PermitGrant) -> None:
    _check_name(message.fingerprint)
    _check_name(message.holder)
    _check_range(message.retry_after_ms, 0, MAX_AGE_MS)


def check_instance(raw: dict) -> None:
    """Validate one instance of the platform's list.

    Raises:
      MessageRejected: a field is missing or has an impossible value.
    """
    _require(isinstance(raw, dict))
    _require("id" in raw and "address" in raw and "incarnation" in raw)
    for field in INSTANCE_TEXT_FIELDS:
        _check_text(raw.get(field, ""))
    _check_name(raw["id"])
    # The id is sent to the instance in a header.
    _require(encodable.is_header_value(raw["id"]))
    _check_address(raw["address"])
    _check_incarnation(raw["incarnation"])
    _require(_is_one_of(raw.get("kind"), INSTANCE_KINDS))
    _require(_is_one_of(raw.get("state", "live"), INSTANCE_STATES))
    _check_range(raw.get("accelerators", 0), 0, MAX_LOAD)
    _require(isinstance(raw.get("checks_orders", False), bool))
    _check_range(raw.get("slots", 0), 0, MAX_LOAD)
    _check_range(raw.get("warmup_left_ms", 0), 0, MAX_LOAD)
    check_announcement(raw.get("announcement"))


def check_announcement(raw: object) -> None:
    """Validate the announcement of an engine.

    Raises:
      MessageRejected: a field has an impossible value.
    """
    if raw is None:
        return
    _require(isinstance(raw, dict))
    for field in ("orders", "active", "queued"):
        _check_range(raw.get(field, 0), 0, MAX_VERSION)
    _require(isinstance(raw.get("busy", False), bool))
    staged = raw.get("staged", ())
    _require(isinstance(staged, (list, tuple)) and len(staged) <= MAX_STAGED)
    for model in staged:
        _check_text(model)
    membership = raw.get("membership")
    if membership is not None:
        _check_membership(membership)


def _check_membership(raw: object) -> None:
    _require(isinstance(raw, dict))
    _require(_is_one_of(raw.get("state"), MEMBER_STATES))
    for field in ("generation", "rank"):
        _check_range(raw.get(field), 0, MAX_VERSION)
    _check_text(raw.get("group"))
    _check_text(raw.get("model", ""))


def _check_incarnation(value: object) -> None:
    if not _is_int(value):
        _check_text(value)


def _check_domain(value: dict) -> None:
    _check_encodable(value)
    _check_lease(value.get("lease", {}))
    _check_range(value.get("next_group", 1), 0, MAX_VERSION)
    draining = value.get("draining", {})
    _require(isinstance(draining, dict))
    _require(all(_is_text_pair(pair) for pair in draining.items()))
    groups = value.get("groups", {})
    _require(isinstance(groups, dict))
    for group_id, group in groups.items():
        _require(isinstance(group_id, str) and isinstance(group, dict))
        _check_group(group)


def _check_lease(lease: object) -> None:
    _require(isinstance(lease, dict))
    for field in ("holder", "operation_id"):
        _require(isinstance(lease.get(field, ""), str))
    for field in ("epoch", "renewal", "duration_ms"):
        _check_range(lease.get(field, 0), 0, MAX_VERSION)
    if lease.get("era") is not None:
        _check_range(lease["era"], 0, positions.MAX_ERA)


def _check_group(group: dict) -> None:
    for field in ("deployment", "model", "version"):
        _require(isinstance(group.get(field), str))
    _check_range(group.get("generation"), 0, MAX_VERSION)
    _check_texts(group.get("members"))
    # A group without members has no head to which requests could be sent.
    _require(len(group["members"]) > 0)
    _check_texts(group.get("incarnations", []))
    _require(isinstance(group.get("retiring", ""), str))


def _check_texts(values: object) -> None:
    _require(isinstance(values, list))
    _require(all(isinstance(text, str) for text in values))


def _require(condition: bool) -> None:
    if not condition:
        raise exceptions.MessageRejected("bad_value")


def _check_encodable(value: object) -> None:
    try:
        encodable.check(value)
    except ValueError as exc:
        raise exceptions.MessageRejected("unencodable") from exc


def _check_text(text: object) -> None:
    _require(isinstance(text, str) and len(text) <= MAX_NAME_LENGTH)
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        raise exceptions.MessageRejected("bad_value") from exc


def _is_one_of(value: object, words: frozenset[str]) -> bool:
    return isinstance(value, str) and value in words


def _check_range(number: object, minimum: int, maximum: int) -> None:
    _require(_is_int(number) and minimum <= number <= maximum)


def _is_int(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_text_pair(pair: tuple) -> bool:
    return all(isinstance(part, str) for part in pair)


def _check_name(text: str) -> None:
    _require(0 < len(text) <= MAX_NAME_LENGTH)


def _check_address(text: str) -> None:
    _require(addresses.is_address(text))
