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
    spares: Iterable[tables.Instance], members: Mapping[str, int]
) -> Iterator[tuple[tables.Instance, str]]:
    """Yield the spares that should stage another model, with the model.

    The first spare of a model is worth its members. Each further one is only
    used after more losses of the same model, so its worth falls with the
    square of the number of spares before it.
    """
    waiting = sorted(spares, key=lambda s: s.id)
    wanted = _wanted(len(waiting), members)
    unassigned = []
    for spare in waiting:
        held = [m for m in spare.announcement.staged if wanted.get(m, 0)]
        if held:
            wanted[held[-1]] -= 1
        else:
            unassigned.append(spare)
    rest = [m for m, count in wanted.items() for _ in range(count)]
    yield from zip(unassigned, rest, strict=False)


def _wanted(spares: int, members: Mapping[str, int]) -> dict[str, int]:
    counts = dict.fromkeys(sorted(members), 0)
    for _ in range(spares if counts else 0):
        best = max(counts, key=lambda m: members[m] / (counts[m] + 1) ** 2)
        counts[best] += 1
    return dict(sorted(counts.items(), key=lambda item: -members[item[0]]))
