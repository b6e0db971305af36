"""Checks of the bounds on requests that reach evacuated and cold servers."""

from collections.abc import Iterable

import attrs

from soak import disruptions
from soak import servers

# The platform's MaxStretchMs, in s.
MAX_STRETCH_S = 6.0


@attrs.frozen
class Arrival:
    """A request that reached a server."""

    time_s: float
    request_id: str
    server: str
    zone: str

    @property
    def node(self) -> int:
        """Return the node that received the request from its caller."""
        return int(self.request_id.split("-")[1])


@attrs.frozen
class Evacuation:
    """An evacuation that has ended.

    Attributes:
      bound_s: time after the acknowledgement from which it must hold.
    """

    zone: str
    acknowledged_s: float
    removed_s: float
    bound_s: float

    def late_arrivals(
        self,
        arrivals: Iterable[Arrival],
        disrupted: disruptions.Disruptions,
    ) -> list[str]:
        """Return the requests from nodes in contact that came too late."""
        return [
            f"{arrival.request_id} reached {arrival.server}"
            f" {arrival.time_s - self.acknowledged_s:.2f} s after the"
            f" evacuation of {self.zone}, {self.removed_s - arrival.time_s:.2f}"
            " s before its end"
            for arrival in arrivals
            if arrival.zone == self.zone
            and self._start_s(arrival, disrupted) < arrival.time_s
            and arrival.time_s < self.removed_s
            and disrupted.is_in_contact(arrival.node, arrival.time_s)
        ]

    def summary(self, arrivals: Iterable[Arrival]) -> str:
        """Return the number of requests around the evacuation."""
        times_s = [a.time_s for a in arrivals if a.zone == self.zone]
        during_s = [t for t in times_s if t < self.removed_s]
        last_s = max(during_s, default=self.acknowledged_s)
        return (
            f"{self.zone} evacuated for"
            f" {self.removed_s - self.acknowledged_s:.1f} s, last request"
            f" {last_s - self.acknowledged_s:.2f} s after its start,"
            f" {len(during_s)} before its end, {len(times_s) - len(during_s)}"
            " after it"
        )

    def _start_s(
        self, arrival: Arrival, disrupted: disruptions.Disruptions
    ) -> float:
        stable = disrupted.is_store_stable(arrival.time_s)
        stretch_s = 0.0 if stable else MAX_STRETCH_S
        return self.acknowledged_s + self.bound_s + stretch_s


def largest_seconds(
    server: servers.RecordingMember | servers.BookingServer,
    number: int,
    disrupted: disruptions.Disruptions,
) -> list[int]:
    """Return the most requests in one second of each cold span of a server.

    Requests that a link held back were not sent within one second, so seconds
    with a disturbed link don't count.

    Args:
      number: index of the server and its link.
    """
    return [
        max(
            (
                sum(0 <= time_s - first_s < 1 for time_s in times_s)
                for first_s in times_s
                if not disrupted.is_link_disturbed(number, first_s, first_s + 1)
            ),
            default=0,
        )
        for start_s, end_s in server.warmup.spans
        for times_s in [
            [
                time_s
                for time_s, request_id in server.arrivals
                if start_s <= time_s < end_s
                and (time_s, request_id) not in server.misdirected
            ]
        ]
    ]


def excess_requests(
    server: servers.RecordingMember | servers.BookingServer,
    number: int,
    bound: float,
    disrupted: disruptions.Disruptions,
) -> list[str]:
    """Return the cold spans of a server with a second above the bound."""
    return [
        f"cold {server.id} got {most} requests in one second after restart"
        f" {restart}, allowed are {bound:g}"
        for restart, most in enumerate(
            largest_seconds(server, number, disrupted), 1
        )
        if most > bound
    ]
