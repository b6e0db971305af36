"""Options of a run of the soak."""

import attrs


@attrs.frozen
class Options:
    """Parts of a run that seeds from before them are played without.

    Attributes:
      crashing_part: requests with a part that crashes servers come.
      restored: the store returns from older copies.
      silent: sound servers answer nothing for a while and go on.
      unframed: some servers answer with neither length nor chunks, and all
        cut some of their streams inside an event.
      planned_stops: nodes are stopped while sound heads are silent; no other
        faults are drawn, and no request may be cut.
      slow_spares: spares join as late as those of the deployments, which is
        later than a caller waits for the next event.
      large_steps: versions of the configuration rise by large steps.
      lost_generations: the store once lacks generations of groups when all
        nodes start.
      production: commit whose build the nodes run first, empty for none. They
        are replaced by the present build one after the other.
      versions: versions come in quick series, beside kept connections.
      evacuations: one failure domain is evacuated, and then the other.
      silent_connections: open connections go silent for good, beside leaving
        servers and revoked keys. No other faults are drawn.
      refused_readers: the store turns away the nodes that read it, beside
        revoked keys. No other faults are drawn.
      customers: the customer is removed from the configuration and comes back,
        and nodes restart. No other faults are drawn.
      two_services: a second service has model servers of the same model in the
        same failure domains, and a route of its own.
      long_prompts: requests with a crashing part, and those that are compared
        with them, share hundreds of further parts.
      cold: servers are cold after a restart, and all servers of a failure
        domain restart together. Not drawn with `planned_stops`.
    """

    crashing_part: bool = False
    unframed: bool = False
    restored: bool = False
    silent: bool = False
    planned_stops: bool = False
    slow_spares: bool = False
    large_steps: bool = False
    lost_generations: bool = False
    production: str = ""
    versions: bool = False
    evacuations: bool = False
    silent_connections: bool = False
    cold: bool = False
    refused_readers: bool = False
    customers: bool = False
    two_services: bool = False
    long_prompts: bool = False


DEFAULT_OPTIONS = Options()
