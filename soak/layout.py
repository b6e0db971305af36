"""Failure domains and zones of a run, and what differs between its servers."""

from soak import clients
from soak import run_options

# Failure domains of the model servers.
DOMAINS = 2
NODES = 3
# Two nodes read the store, and up to four others take over from them.
NODES_OF_REFUSED_READERS = 6
# One of this many streams of a server is cut inside an event.
RUNS_PER_CUT = 20


def node_count(options: run_options.Options) -> int:
    """Return the number of nodes of a run."""
    return NODES_OF_REFUSED_READERS if options.refused_readers else NODES


def failure_domain(number: int, options: run_options.Options) -> str:
    """Return the failure domain of a node.

    Two nodes of a domain read the store. In a shared one, the others hear of
    all changes over links.
    """
    is_shared = (
        options.silent_connections
        or options.refused_readers
        or options.customers
    )
    return "z0" if is_shared else f"z{number}"


def zone(number: int, options: run_options.Options) -> str:
    """Return the zone of a server; groups share one without evacuations."""
    return f"z{number % DOMAINS}" if options.evacuations else "z1"


def model_server(number: int, options: run_options.Options) -> dict:
    """Return the settings in which the model servers of a run differ."""
    crashing = {
        "bad_parts": frozenset({clients.BAD_PART}),
        "restarts_renamed": number % 4 < DOMAINS,
        "sends_head": number % 8 < 2 * DOMAINS,
    }
    framing = {
        # By domain, so that the heads of both groups differ.
        "framed": number % DOMAINS == 1,
        "runs_per_cut": RUNS_PER_CUT,
    }
    return crashing | (framing if options.unframed else {})
