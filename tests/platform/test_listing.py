"""Guards against malformed list entries that are accepted or misread."""

import pytest

from balsamlug import plain
from balsamlug import tables
from balsamlug import validation
from balsamlug.platform import listing
from tests.platform import samples


def test_engine_is_decoded_with_its_group():
    raw = listing.instance("i-1", samples.ENTRY)
    validation.check_instance(raw)
    instance = plain.instance_from_dict(raw)
    assert instance.kind is tables.InstanceKind.ENGINE
    assert instance.incarnation == "1700000000000"
    assert instance.fabric_domain == "d1"
    assert instance.announcement.staged == ("daka510000",)
    assert instance.announcement.orders == 4
    assert instance.announcement.membership == tables.Membership(
        "d1-3", 7, 0, tables.MemberState.OPEN, "daka510000"
    )


def test_plain_service_is_decoded():
    engine_fields = {"Domain", "Models", "Staged", "group", "Phase"}
    raw = {
        field: value
        for field, value in samples.ENTRY.items()
        if field not in engine_fields
    }
    instance = plain.instance_from_dict(listing.instance("i-2", raw))
    assert instance.kind is tables.InstanceKind.SERVICE
    assert instance.announcement is None


def test_draining_server_is_leaving():
    raw = listing.instance("i-1", samples.ENTRY | {"State": "draining"})
    assert raw["state"] is tables.InstanceState.LEAVING


@pytest.mark.parametrize(
    "change",
    [
        {"Address": None},
        {"Address": 17},
        {"State": "asleep"},
        {"BatchSlots": "many"},
        {"Service": ["a"]},
        {"group": {"Name": "g.1", "epoch": 1, "rank": 0, "State": "odd"}},
    ],
)
def test_malformed_entry_is_rejected(change):
    with pytest.raises((LookupError, TypeError, ValueError)):
        listing.instance("i-1", samples.ENTRY | change)


@pytest.mark.parametrize(
    "field",
    [
        "Service",
        "Address",
        "Zone",
        "Version",
        "BatchSlots",
        "State",
        "WarmupLeftMs",
        "Sequence",
    ],
)
def test_entry_with_a_missing_field_names_no_server(field):
    raw = {k: v for k, v in samples.ENTRY.items() if k != field}
    with pytest.raises(LookupError):
        listing.instance("i-1", raw)


def test_group_name_without_generation_is_unchanged():
    group = {"Name": "g7", "epoch": 12, "rank": 1, "State": "ready"}
    raw = listing.instance("i-1", samples.ENTRY | {"group": group})
    assert raw["announcement"]["membership"]["group"] == "g7"


@pytest.mark.parametrize("left_ms", [-1, 2**60, 1e300])
def test_impossible_warm_up_is_ignored(left_ms):
    entry = samples.ENTRY | {"WarmupLeftMs": left_ms}
    assert listing.instance("i-1", entry)["warmup_left_ms"] == 0


def test_remaining_warm_up_is_passed_on():
    raw = listing.instance("i-1", samples.ENTRY | {"WarmupLeftMs": 1500.4})
    validation.check_instance(raw)
    instance = plain.instance_from_dict(raw)
    assert instance.warmup_left_ms == 1500
    assert plain.instance_to_dict(instance)["warmup_left_ms"] == 1500


def test_stored_instance_without_warm_up_is_accepted():
    raw = listing.instance("i-1", samples.ENTRY)
    del raw["warmup_left_ms"]
    validation.check_instance(raw)
    assert plain.instance_from_dict(raw).warmup_left_ms == 0
