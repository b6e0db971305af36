"""Language of scripted scenarios.

A scenario declares a fleet, then actions at times in seconds after the start,
then the end of the run:

    scenario "Head of a group dies"
    nodes 4
    domain d1 with 5 engines
    deployment chat of 2
    at 20 kill d1-e0
    at 60 expect 2 ready groups in d1
    run until 70
"""

import functools

import attrs
import lark

GRAMMAR = r"""
start: "scenario" ESCAPED_STRING setting* event* "run" "until" NUMBER

setting: "nodes" INT                                         -> nodes
    | "domain" NAME "with" INT [UNFENCED] "engines"          -> domain
    | "deployment" NAME "of" INT ["up" "to" INT "groups"]    -> deployment

event: "at" NUMBER action

action: "kill" NAME                                          -> kill
    | "restart" NAME                                         -> restart
    | "hang" NAME                                            -> hang
    | "recover" NAME                                         -> recover
    | "leave" NAME                                           -> leave
    | "drain" NAME                                           -> drain
    | "pause" node                                           -> pause
    | "resume" "all" "nodes"                                 -> resume
    | "hold" "orders" "of" node                              -> hold_orders
    | "deliver" "held" "orders"                              -> deliver
    | "isolate" node                                         -> isolate
    | "rejoin" "all" "nodes"                                 -> rejoin
    | "cut" node "from" NAME                                 -> cut
    | "heal" "all" "paths"                                   -> heal
    | "store" "down"                                         -> store_down
    | "store" "up"                                           -> store_up
    | "lose" INT "answers"                                   -> lose
    | "darken" NAME                                          -> darken
    | "light" NAME                                           -> light
    | "expect" INT "ready" "groups" "in" NAME                -> expect

node: "holder" "of" NAME                                     -> holder
    | NAME                                                   -> named

UNFENCED: "unfenced"
NAME: /[a-z][a-z0-9-]*/
COMMENT: /#[^\n]*/
%import common.ESCAPED_STRING
%import common.INT
%import common.NUMBER
%import common.WS
%ignore WS
%ignore COMMENT
"""


@attrs.frozen
class Domain:
    """A fabric domain and its engines.

    Attributes:
      fencing: whether the engines reject orders with an old fencing number.
    """

    name: str
    engines: int
    fencing: bool


@attrs.frozen
class Deployment:
    """A deployment.

    Attributes:
      size: instances of a group.
      max_groups: upper bound of its groups over all domains, None for no bound.
    """

    name: str
    size: int
    max_groups: int | None


@attrs.frozen
class Action:
    """A fault, a repair or an expectation.

    Attributes:
      verb: alias of the grammar rule.
      target: name of a domain, engine or node; "holder:" and a domain for its
        lease holder; for `cut` a node and an engine with "/" between them.
    """

    verb: str
    target: str = ""
    number: int = 0


@attrs.frozen
class Event:
    """An action and its time in seconds after the start."""

    at_s: float
    action: Action


@attrs.frozen
class Scenario:
    """A parsed scenario."""

    title: str
    nodes: int
    domains: tuple[Domain, ...]
    deployments: tuple[Deployment, ...]
    events: tuple[Event, ...]
    end_s: float


class _Transformer(lark.Transformer):
    """Turn the parse tree into a scenario.

    Lark calls the method named after each rule or alias of the grammar.
    """

    def start(self, parts):
        title, *middle, end = parts
        return Scenario(
            str(title)[1:-1],
            next(p for p in middle if isinstance(p, int)),
            _parts_of(Domain, middle),
            _parts_of(Deployment, middle),
            _parts_of(Event, middle),
            float(end),
        )

    def nodes(self, parts):
        return int(parts[0])

    def domain(self, parts):
        name, engines, unfenced = parts
        return Domain(str(name), int(engines), unfenced is None)

    def deployment(self, parts):
        name, size, groups = parts
        max_groups = None if groups is None else int(groups)
        return Deployment(str(name), int(size), max_groups)

    def event(self, parts):
        return Event(float(parts[0]), parts[1])

    def holder(self, parts):
        return f"holder:{parts[0]}"

    def named(self, parts):
        return str(parts[0])

    def lose(self, parts):
        return Action("lose", number=int(parts[0]))

    def expect(self, parts):
        return Action("expect", str(parts[1]), int(parts[0]))

    def cut(self, parts):
        return Action("cut", f"{parts[0]}/{parts[1]}")

    def __default__(self, data, children, meta):
        return Action(str(data), *map(str, children))


def _parts_of(cls, parts):
    return tuple(part for part in parts if isinstance(part, cls))


@functools.cache
def _parser():
    return lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)


def parse(text: str) -> Scenario:
    """Return the scenario of a text.

    Raises:
      lark.exceptions.UnexpectedInput: the text is not in the language.
    """
    return _Transformer().transform(_parser().parse(text))
