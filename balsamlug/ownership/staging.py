"""Which model each spare keeps ready on its host."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from balsamlug import tables


def needs(groups: Iterable[tables.Group]) -> dict[str, int]:
    """Return how many members each model could lose.

    Any member is as likely to be lost as another one, so the next loss hits
    a model in proportion to its members.
    """
    members: dict[str, int] = {}
    for group in groups:
        if not group.retiring:
            count = members.get(group.model, 0)
            members[group.model] = count + len(group.members)
    return members


def assign(
    spares: Iterable[tables.Instance],
    members: Mapping[str, int],
    missing: Mapping[str, int],
) -> Iterator[tuple[tables.Instance, str]]:
    """Yield the spares that should stage another model, with the model.

    Groups that wait for a member go first. Of the other spares, the first one
    of a model is worth its members. Each further one is only used after more
    losses of the same model, so its worth falls with the square of the number
    of spares before it.

    Args:
      missing: lost members of each model that nobody has replaced yet.
    """
    waiting = sorted(spares, key=lambda s: s.id)
    wanted = _wanted(len(waiting), members, missing)
    unassigned = []
    for spare in waiting:
        held = [m for m in spare.announcement.staged if wanted.get(m, 0)]
        if held:
            wanted[held[-1]] -= 1
        else:
            unassigned.append(spare)
    rest = [m for m, count in wanted.items() for _ in range(count)]
    yield from zip(unassigned, rest, strict=False)


def _wanted(
    spares: int, members: Mapping[str, int], missing: Mapping[str, int]
) -> dict[str, int]:
    counts = dict.fromkeys(sorted(members), 0)
    for _ in range(spares if counts else 0):
        best = max(counts, key=lambda m: _worth(m, counts[m], members, missing))
        counts[best] += 1
    return dict(sorted(counts.items(), key=lambda item: -members[item[0]]))


def _worth(
    model: str,
    count: int,
    members: Mapping[str, int],
    missing: Mapping[str, int],
) -> tuple[bool, float]:
    further = max(0, count - missing.get(model, 0))
    return count < missing.get(model, 0), members[model] / (further + 1) ** 2
