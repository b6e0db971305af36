"""Choose the model whose weights each spare stages on its host.

A spare with staged weights replaces a lost member without loading the weights
from the store first.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from balsamlug import tables


def count_members(
    groups: Iterable[tables.Group],
) -> collections.Counter[str]:
    """Return the number of members of each model.

    Every member is equally likely to be lost, so the next loss affects a model
    in proportion to its members.
    """
    members: collections.Counter[str] = collections.Counter()
    for group in groups:
        if not group.retiring:
            members[group.model] += len(group.members)
    return members


def assign_models(
    spares: Iterable[tables.Instance],
    members: Mapping[str, int],
    missing: Mapping[str, int],
) -> Iterator[tuple[tables.Instance, str]]:
    """Yield the spares that should stage another model, with the model.

    Groups that wait for a member come first. For the remaining spares, the
    value of the first spare of a model is the number of its members. Each
    further spare is needed only after more losses of the same model, so its
    value falls with the square of its position.

    Args:
      missing: members of each model that are lost and not replaced, or belong
        to groups that could not be formed yet.
    """
    ordered = sorted(spares, key=lambda s: s.id)
    target_counts = _target_counts(len(ordered), members, missing)
    free_spares = []
    for spare in ordered:
        held = [m for m in spare.announcement.staged if target_counts.get(m, 0)]
        if held:
            target_counts[held[-1]] -= 1
        else:
            free_spares.append(spare)
    unassigned_models = [
        m for m, count in target_counts.items() for _ in range(count)
    ]
    yield from zip(free_spares, unassigned_models, strict=False)


def _target_counts(
    spares: int, members: Mapping[str, int], missing: Mapping[str, int]
) -> dict[str, int]:
    counts = dict.fromkeys(sorted(members), 0)
    for _ in range(spares if counts else 0):
        model = max(
            counts, key=lambda m: _staging_value(m, counts[m], members, missing)
        )
        counts[model] += 1
    return dict(sorted(counts.items(), key=lambda item: -members[item[0]]))


def _staging_value(
    model: str,
    count: int,
    members: Mapping[str, int],
    missing: Mapping[str, int],
) -> tuple[bool, float]:
    surplus = max(0, count - missing.get(model, 0))
    return count < missing.get(model, 0), members[model] / (surplus + 1) ** 2
