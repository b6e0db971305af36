"""Choose the group for each attempt of a request."""

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.gateway import forwarding
from balsamlug.gateway import overload
from balsamlug.gateway import placement
from balsamlug.gateway import warmup

# Longest duration of a stream, as a multiple of the one by the model of its
# group, while no recent streams of its route are known.
MODEL_FACTOR = 1.5
PLACEMENT_RETRY_S = 0.1


@attrs.define(eq=False, kw_only=True)
class PlacedRequest(forwarding.ForwardedRequest):
    """A caller's request that is sent to one group after another.

    Attributes:
      waited_ms: time since the request was first refused, 0 if it was not.
      _received_events: number of event chunks received in all attempts.
      _excluded: groups in which an attempt failed.
      _reserved: group of the attempt that replaces a silent one.
      _permit: permit of the current attempt, None at a warm head.
    """

    priority: int
    waited_ms: float
    _received_events: int = 0
    _excluded: set[str] = attrs.field(factory=set)
    _reserved: placement.Placement | None = None
    _permit: warmup.Permit | None = None

    def _choose(self) -> placement.Placement:
        placed, self._reserved = self._reserved, None
        if placed is None or not self._may_take_permit(placed):
            placed = self._find_group(frozenset(self._excluded))
        self._check_grace(self._work_s(placed.candidate))
        self.evidence.admit()
        self._permit = self.ctx.warmup.take(placed.candidate.limit_key)
        self.ctx.log(
            "request_placed",
            request=self.req.metadata.request_id,
            group=placed.candidate.group,
            generation=placed.candidate.generation,
            head=placed.candidate.head,
            present=placed.candidate.in_flight,
            waiting=placed.candidate.waiting,
            unseen=round(placed.unreported, 1),
            candidates=placed.candidates,
            wait_ms=round(placed.wait_ms),
            urgency=placed.urgency,
            attempt=self.sent_attempts + 1,
        )
        return placed

    def _may_take_permit(self, placed: placement.Placement) -> bool:
        """Return whether no other request has taken the permit meanwhile."""
        return self.ctx.warmup.may_take(placed.candidate.limit_key)

    def _find_group(self, excluded: frozenset[str]) -> placement.Placement:
        metadata = self.req.metadata
        groups = self.ctx.groups
        model, pool = metadata.model, self._pool
        candidates = groups.candidates(self.service, model, excluded)
        if not candidates and self.responder.headers_sent:
            # The only group may have been formed again after its failure.
            candidates = groups.candidates(self.service, model, frozenset())
        candidates = [c for c in candidates if self.servers.allows(c.limit_key)]
        candidates = self.ctx.notices.accepting(
            candidates, lambda c: c.limit_key
        )
        candidates = self.ctx.warmup.accepting(
            candidates, lambda c: c.limit_key
        )
        candidates = self.ctx.rate_limits.accepting(
            candidates,
            lambda c: c.limit_key,
            pool,
            self.priority,
            self.responder.headers_sent,
        )
        # After the rate limits, since a ramp excludes a group only while others
        # that may be sent requests have free slots.
        candidates = self.ctx.ramps.accepting(
            candidates, pool, self.responder.headers_sent
        )
        return self.ctx.admission.choose(
            placement.Work(
                model=pool,
                prompt_tokens=metadata.prompt_tokens,
                target_left_ms=self._target_left_ms(),
                deadline_left_ms=self._remaining_ms(),
                retried=self.waited_ms > 0,
                resumed=self.responder.headers_sent,
                priority=self.priority,
            ),
            candidates,
            self.ctx.rng,
            groups.unreported_requests(candidates),
            overload.Source(
                metadata.request_id,
                self.route.name,
                self.customer,
                self.attempted,
            ),
        )

    @property
    def _pool(self) -> str:
        """Return the name of the groups that may serve the request."""
        catalogue = self.ctx.fleet.catalogue
        return catalogue.pool(self.service, self.req.metadata.model)

    def _target_left_ms(self) -> float:
        now_s = self.ctx.clock.monotonic()
        elapsed_ms = (now_s - self.req.received_s) * clocks.MS_PER_S
        return self.route.target_ms - self.waited_ms - elapsed_ms

    def _remaining_ms(self) -> float:
        now_s = self.ctx.clock.monotonic()
        return (self.deadline_s - now_s) * clocks.MS_PER_S

    def _work_s(self, candidate: placement.Candidate) -> float | None:
        """Return the longest time that a group may need, None if unknown."""
        if not self.req.metadata.answer_tokens:
            return None
        factor = self.ctx.durations.upper(self._duration_key) or MODEL_FACTOR
        work_ms = factor * self._modelled_ms(candidate)
        return work_ms / clocks.MS_PER_S

    def _modelled_ms(self, candidate: placement.Candidate) -> float:
        """Return the time that the rest of the answer takes in a full group."""
        metadata = self.req.metadata
        steps = candidate.model.engine.steps_per_pass
        received = min(metadata.answer_tokens, self._received_events * steps)
        return candidate.model.last_event_ms(
            candidate.in_flight,
            metadata.prompt_tokens + received,
            metadata.answer_tokens - received,
        )

    def _find_other_group(
        self, candidate: placement.Candidate
    ) -> placement.Placement | None:
        """Return where an attempt may replace a silent one, or None."""
        if not self._may_reserve():
            return None
        try:
            placed = self._find_group(
                frozenset(self._excluded | {candidate.group})
            )
        except exceptions.Refusal:
            return None
        if placed.candidate.key == candidate.key:
            return None
        fits = self._fits_grace(self._work_s(placed.candidate))
        return placed if fits else None

    def _reserve(self, placed: placement.Placement) -> bool:
        """Reserve an attempt elsewhere and return whether it was allowed."""
        may_send = self.ctx.groups.may_send(
            placed.candidate
        ) and self._may_take_permit(placed)
        if not may_send or not self._reserve_retry():
            return False
        self._reserved = placed
        return True

    async def _find_responding_group(
        self, candidate: placement.Candidate
    ) -> placement.Placement | None:
        """Return another group, whose members answer, for a silent attempt.

        Groups that fall silent at the same moment are not all known at once.
        """
        placed = self._find_other_group(candidate)
        if placed is None:
            return None
        group = self._assigned_group(placed.candidate)
        if group is None or await self.ctx.detector.is_lost(
            group, "a stream may move there"
        ):
            return None
        return placed

    def _assigned_group(
        self, candidate: placement.Candidate
    ) -> tables.Group | None:
        """Return the group of a candidate unless it was formed again."""
        group = self.ctx.groups.group(candidate.group)
        is_same = group is not None and group.generation == candidate.generation
        return group if is_same else None

    def _has_place(self, candidate: placement.Candidate) -> bool:
        """Return whether a group takes the rest of a disconnected attempt."""
        if not self._may_continue():
            return False
        open_groups = self.ctx.notices.accepting(
            self.ctx.groups.candidates(
                self.service,
                self.req.metadata.model,
                frozenset(self._excluded),
            ),
            lambda c: c.limit_key,
        )
        return (
            any(c.key == candidate.key for c in open_groups)
            or self._find_other_group(candidate) is not None
        )
