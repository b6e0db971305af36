"""Guards the choice of the model that each spare stages."""

from balsamlug import tables
from balsamlug.ownership import staging


def _spare(name: str, *staged: str) -> tables.Instance:
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.ENGINE,
        "a:1",
        "d",
        "z",
        "",
        announcement=tables.Announcement(staged=staged),
    )


def _assign(
    *spares: tables.Instance, missing: dict | None = None, **members: int
) -> dict[str, str]:
    assigned = staging.assign_models(spares, members, missing or {})
    return {s.id: m for s, m in assigned}


def test_the_first_spare_covers_the_model_with_most_members():
    assert _assign(_spare("a"), large=6, small=3) == {"a": "large"}


def test_two_spares_cover_a_loss_of_either_model():
    assigned = _assign(_spare("a"), _spare("b"), large=6, small=3)
    assert sorted(assigned.values()) == ["large", "small"]


def test_a_third_spare_covers_a_second_loss_of_the_large_model():
    spares = [_spare(n) for n in "abc"]
    assigned = _assign(*spares, large=6, small=3)
    assert sorted(assigned.values()) == ["large", "large", "small"]


def test_spares_that_hold_the_right_model_load_nothing():
    spares = [_spare("a", "small"), _spare("b", "large")]
    assert not _assign(*spares, large=6, small=3)


def test_only_the_surplus_copy_is_loaded_again():
    spares = [_spare("a", "small"), _spare("b", "small")]
    assert _assign(*spares, large=6, small=3) == {"b": "large"}


def test_without_groups_nothing_is_staged():
    assert not _assign(_spare("a"))


def test_a_group_that_waits_for_a_member_goes_first():
    spares = [_spare("a", "large"), _spare("b", "large")]
    assigned = _assign(*spares, large=6, small=3, missing={"small": 2})
    assert assigned == {"a": "small", "b": "small"}
