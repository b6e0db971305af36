"""Guards against old list entries that end the coldness of an instance."""

import attrs

from balsamlug import limit_table
from balsamlug.gateway import cold_instances
from bench import cold_starts

KEY = limit_table.instance_key(cold_starts.entry())
Change = cold_instances.Change


def _observe(table, left_ms, now_s, **changes):
    entry = attrs.evolve(cold_starts.entry(left_ms), **changes)
    return table.observe(KEY, entry, now_s)


def test_refreshed_entries_end_at_the_stated_time():
    table = cold_instances.ColdInstances()
    assert _observe(table, 6000, 0.0) is Change.STARTED
    for number in range(1, 6):
        assert _observe(table, 6000 - 1200 * number, 1.2 * number) is None
    assert table.find(KEY, 5.9)
    assert not table.find(KEY, 6.1)


def test_old_entry_of_a_restored_store_does_not_end_the_coldness():
    table = cold_instances.ColdInstances()
    _observe(table, 20_000, 0.0)
    _observe(table, 0, 1.0)
    _observe(table, 18_000, 2.0)
    assert table.find(KEY, 19.0)


def test_complete_list_with_an_old_value_does_not_extend_the_coldness():
    table = cold_instances.ColdInstances()
    _observe(table, 5000, 0.0)
    for second in range(1, 5):
        _observe(table, 5000, float(second))
    assert not table.find(KEY, 5.1)


def test_value_that_a_newer_entry_corrects_holds_for_a_short_time():
    table = cold_instances.ColdInstances()
    _observe(table, 20_000, 0.0)
    _observe(table, 1000, 1.0)
    assert table.find(KEY, 4.0)
    assert not table.find(
        KEY, 1.0 + cold_instances.OBSERVATION_LIFETIME_S + 0.1
    )


def test_process_in_place_of_an_earlier_one_is_known_as_restarted():
    """Guards against first permits that add to requests sent just before."""
    for left_ms in (0, 9000):
        table = cold_instances.ColdInstances()
        _observe(table, left_ms, 0.0)
        successor = attrs.evolve(cold_starts.entry(), incarnation="2")
        key = limit_table.instance_key(successor)
        assert table.observe(key, successor, 1.0) is Change.RESTARTED
        other = cold_starts.entry(name="j")
        key = limit_table.instance_key(other)
        assert table.observe(key, other, 1.0) is Change.STARTED


def test_instance_that_becomes_cold_again_is_cold():
    table = cold_instances.ColdInstances()
    assert _observe(table, 0, 0.0) is None
    assert _observe(table, 9000, 1.0) is Change.COLD_AGAIN
    assert table.find(KEY, 9.9)
    assert [cold.instance for _, cold in table.expire(10.1)] == ["i"]
    assert _observe(table, 9000, 20.0) is Change.COLD_AGAIN
    assert table.find(KEY, 20.0 + 0.9 * cold_instances.REPEATED_ENTRY_S)
    assert _observe(table, 7800, 21.2) is None
    assert table.find(KEY, 28.9)


def test_unlisted_instance_starts_anew():
    table = cold_instances.ColdInstances()
    _observe(table, 0, 0.0)
    table.retain([])
    assert _observe(table, 9000, 1.0) is Change.STARTED
