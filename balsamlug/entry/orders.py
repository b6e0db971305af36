"""Deliver orders to engines and poll the engines until they are executed."""

import asyncio
from collections.abc import Callable
import json

import attrs
import cattrs
import eliot

from balsamlug import announcements
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug import validation
from balsamlug.health import evidence
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from balsamlug.router import upstream
from balsamlug.store import decoding

ORDER_TIMEOUT_S = 0.6
# Many times the size of a report.
MAX_REPORT_BYTES = 256 * 1024
MAX_ERROR_LENGTH = 200
# Delay of the first poll after an order whose duration is unknown.
FIRST_POLL_S = 0.22
# Interval and maximum number of polls of an engine that has not finished an
# order.
POLL_INTERVAL_S = 0.15
MAX_POLLS = 6
MAX_FENCING_STEP = 2**20
ACCEPTED = frozenset({200, 202})
# Logged as the status of an order that the engine did not answer.
NO_STATUS = 0
# The engine was already in the ordered state.
UNCHANGED_STATUS = 200


class EngineApi:
    """Client for orders and reports; the platform package encodes them.

    Attributes:
      order_path, report_path: paths on an engine.
      stale_status: status of an engine's answer to an order of a former lease
        holder.
      encode: returns the body of a command.
      decode: returns the incarnation and announcement in a report's body.
      identify: returns the headers with which any other server at the address
        rejects a request.
      connect: opens the connection to an engine.
    """

    def __init__(
        self,
        order_path: str,
        report_path: str,
        stale_status: int,
        encode: Callable[[commands.Command], dict],
        decode: Callable[[dict], tuple[str, dict]],
        identify: Callable[[str], dict[str, str]],
        connect: upstream.Connect = upstream.connect,
    ) -> None:
        self.order_path = order_path
        self.report_path = report_path
        self.stale_status = stale_status
        self.encode = encode
        self.decode = decode
        self.identify = identify
        self.connect = connect

    async def report(
        self, instance: str, address: str
    ) -> tuple[str, tables.Announcement]:
        """Return the incarnation and announcement of an engine.

        Raises:
          UpstreamUnreachable, UpstreamFailed: there was no valid answer of
            this instance.
        """
        headers = self.identify(instance)
        call = upstream.Call(
            address, "GET", self.report_path, headers, connect=self.connect
        )
        resp, body = await upstream.fetch(
            call, ORDER_TIMEOUT_S, MAX_REPORT_BYTES
        )
        if resp.status != 200:
            raise exceptions.UpstreamFailed(
                f"report request returned status {resp.status}, not 200"
            )
        try:
            incarnation, raw = self.decode(decoding.decode(body))
            validation.check_announcement(raw)
            announcement = cattrs.structure(raw, tables.Announcement)
        except (exceptions.ProtocolError, *exceptions.MALFORMED_VALUE) as exc:
            detail = f"{type(exc).__name__}: {exc}"[:MAX_ERROR_LENGTH]
            raise exceptions.UpstreamFailed(
                f"report is malformed: {detail}"
            ) from exc
        return incarnation, announcement

    async def order(self, order: orders.Order) -> int:
        """Send an order and return the status of its answer.

        Raises:
          UpstreamUnreachable, UpstreamFailed: there was no answer.
        """
        body = json.dumps(self.encode(order.body)).encode()
        headers = {"Content-Type": "application/json"}
        call = upstream.Call(
            order.address,
            "POST",
            self.order_path,
            headers | self.identify(order.instance),
            body,
            permitted=order.permitted,
            connect=self.connect,
        )
        resp, _ = await upstream.fetch(call, ORDER_TIMEOUT_S, MAX_REPORT_BYTES)
        return resp.status


@attrs.define(eq=False)
class OrderSender:
    """Send orders and poll the engines until the orders are executed.

    Attributes:
      on_progress: called when the state of an engine may have changed.
    """

    _api: EngineApi
    _fleet: fleet.FleetState
    _listed: listing.Listed
    _clock: clocks.Clock
    on_progress: Callable[[], None] = lambda: None
    _polls: dict[str, asyncio.Task] = attrs.field(factory=dict)
    # Instance -> distance to the next fencing token that it may accept.
    _fencing_steps: dict[str, int] = attrs.field(factory=dict)
    _groups: group_table.Cache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._groups = group_table.Cache(self._fleet)

    async def send(self, order: orders.Order) -> tuple[int, dict]:
        """Send an order; return status and body for the order dispatcher.

        Raises:
          OSError: the engine did not answer.
        """
        instance, command = order.instance, order.body
        if isinstance(command, commands.Join):
            await self._confirm_free(order)
            if await self._leave_former_group(order) == self._api.stale_status:
                return self._stale_fencing(order)
        if isinstance(command, commands.Open):
            self._log_open(command)
        status = await self._order(order)
        if status == self._api.stale_status:
            return await self._stale(order)
        self._fencing_steps.pop(instance, None)
        if status in ACCEPTED:
            self._on_accepted(instance, command, status)
        else:
            self._schedule_poll(instance, POLL_INTERVAL_S)
        return 200, {}

    async def _stale(self, order: orders.Order) -> tuple[int, dict]:
        """Return which number of a rejected order is too low.

        An engine rejects a join for its fencing token or for its generation.
        It checks only the token of an order to leave, which has no effect,
        because the engine is not in that generation.

        Raises:
          OSError: the engine did not answer.
        """
        command = order.body
        if not isinstance(command, commands.Join):
            return self._stale_fencing(order)
        leave = commands.Leave(
            command.fencing, command.group, command.generation
        )
        status = await self._order(attrs.evolve(order, body=leave))
        if status == self._api.stale_status:
            return self._stale_fencing(order)
        return orders.STALE_GENERATION_STATUS, {}

    def _stale_fencing(self, order: orders.Order) -> tuple[int, dict]:
        """Return a higher fencing number; the one needed is unknown.

        The distance doubles with each rejection by the engine.
        """
        step = self._fencing_steps.get(order.instance, 1)
        self._fencing_steps[order.instance] = min(2 * step, MAX_FENCING_STEP)
        newer = group_table.fencing(order.body.fencing + step, 0)
        return orders.STALE_FENCING_STATUS, {"fencing": newer}

    def _log_open(self, command: commands.Open) -> None:
        """Log the states on which the decision to open a head rests."""
        group = self._groups.find(command.group)
        eliot.log_message(
            "open_decided",
            group=command.group,
            generation=command.generation,
            members=[
                self._evidence_of(member)
                for member in (group.members if group is not None else ())
            ],
        )

    def _evidence_of(self, member: str) -> dict:
        newest = self._listed.newest(member)
        if newest is None or newest.instance.announcement is None:
            return {"instance": member}
        announcement = newest.instance.announcement
        membership = announcement.membership
        return {
            "instance": member,
            "incarnation": newest.instance.incarnation,
            "orders": announcement.orders,
            "state": membership.state if membership is not None else "",
            "source": newest.source,
            "age_s": round(self._clock.monotonic() - newest.known_s, 3),
        }

    async def _confirm_free(self, order: orders.Order) -> None:
        """Ask an engine that only a first list shows as free for a report.

        Raises:
          OSError: the engine did not answer, or it is in another group.
        """
        instance, join = order.instance, order.body
        if not self._listed.is_from_first_list(instance):
            return
        try:
            report = await self._api.report(instance, order.address)
        except exceptions.Refusal as exc:
            raise OSError(str(exc)) from exc
        self._listed.record_report(instance, *report)
        target = join.group, join.generation
        former = self._listed.unconfirmed_group(instance, *target)
        joined = announcements.group_key(report[1])
        if joined in (None, target, former):
            return
        eliot.log_message(
            "join_withheld", instance=instance, group=join.group, joined=joined
        )
        self.on_progress()
        raise OSError(f"engine is in group {joined[0]}")

    async def _leave_former_group(self, order: orders.Order) -> int:
        """Release the engine from a group that it may have joined before.

        The answer to an earlier order may be missing.

        Returns:
          status of the answer; `UNCHANGED_STATUS` if no order was needed.

        Raises:
          OSError: the engine may still be in the other group.
        """
        join = order.body
        target = join.group, join.generation
        former = self._listed.unconfirmed_group(order.instance, *target)
        status = UNCHANGED_STATUS
        if former is not None:
            leave = commands.Leave(join.fencing, *former)
            status = await self._order(attrs.evolve(order, body=leave))
            if status == self._api.stale_status:
                return status
            if status not in ACCEPTED:
                raise OSError(
                    f"engine was not released from group {former[0]}:"
                    f" status {status}"
                )
        self._listed.record_join_order(
            order.instance, evidence.JoinOrder(*target, join.fencing)
        )
        return status

    async def _order(self, order: orders.Order) -> int:
        try:
            status = await self._api.order(order)
        except exceptions.Refusal as exc:
            _log(order, NO_STATUS, str(exc))
            self._schedule_poll(order.instance, FIRST_POLL_S)
            raise OSError(str(exc)) from exc
        _log(order, status, "")
        return status

    def stop(self) -> None:
        """Stop polling engines."""
        for task in self._polls.values():
            task.cancel()

    def _on_accepted(
        self, instance: str, command: commands.Command, status: int
    ) -> None:
        if isinstance(command, commands.Leave):
            self._on_left(instance, command)
            return
        if isinstance(command, commands.Join) and status != UNCHANGED_STATUS:
            self._listed.record_join(instance, _membership(instance, command))
        self._schedule_poll(
            instance, self._first_poll_delay_s(instance, command)
        )

    def _on_left(self, instance: str, leave: commands.Leave) -> None:
        left = leave.group, leave.generation
        if self._listed.record_leave(instance, *left, leave.fencing):
            self.on_progress()
        else:
            self._schedule_poll(instance, 0.0, left)

    def _first_poll_delay_s(
        self, instance: str, command: commands.Command
    ) -> float:
        """Return the delay after which an order has probably been executed."""
        catalogue = self._fleet.catalogue
        if isinstance(command, commands.Open):
            forms = [e.form_ms for _, e in catalogue.engines()]
            return max(forms, default=0.0) / clocks.MS_PER_S
        if isinstance(command, commands.Stage) and self._announces(instance):
            service = self._listed.current(instance).service
            entry = catalogue.model(service, command.model)
            return entry[1].load_s if entry is not None else FIRST_POLL_S
        # A former member joins faster than a staged host; the list shows when a
        # join takes longer.
        return FIRST_POLL_S

    def _announces(self, instance: str) -> bool:
        current = self._listed.current(instance)
        return current is not None and current.announcement is not None

    def _schedule_poll(
        self,
        instance: str,
        after_s: float,
        left: tuple[str, int] | None = None,
    ) -> None:
        """Poll an engine until it is in no transition.

        Args:
          left: group and generation that it has left, which a report from
            before may still show.
        """
        task = self._polls.pop(instance, None)
        if task is not None:
            task.cancel()
        self._polls[instance] = asyncio.create_task(
            self._poll(instance, after_s, left)
        )

    async def _poll(
        self, instance: str, after_s: float, left: tuple[str, int] | None
    ) -> None:
        for _ in range(MAX_POLLS):
            await asyncio.sleep(after_s)
            after_s = POLL_INTERVAL_S
            current = self._listed.current(instance)
            if current is None:
                return
            try:
                report = await self._api.report(instance, current.address)
            except exceptions.Refusal as exc:
                eliot.log_message(
                    "report_missing", instance=instance, error=str(exc)
                )
                continue
            self._listed.record_report(instance, *report)
            self.on_progress()
            if not self._is_in_transition(instance, left):
                return

    def _is_in_transition(
        self, instance: str, left: tuple[str, int] | None
    ) -> bool:
        current = self._listed.current(instance)
        if current is None or current.announcement is None:
            return False
        member = current.announcement.membership
        if member is None:
            return current.announcement.busy
        is_leaving = (member.group, member.generation) == left
        return is_leaving or member.state is tables.MemberState.JOINING


def _log(order: orders.Order, status: int, error: str) -> None:
    eliot.log_message(
        "order_sent",
        instance=order.instance,
        address=order.address,
        order=type(order.body).__name__.lower(),
        status=status,
        error=error,
        **attrs.asdict(order.body),
    )


def _membership(instance: str, join: commands.Join) -> tables.Membership:
    """Return the membership of an engine that has accepted to join a group."""
    return tables.Membership(
        join.group,
        join.generation,
        join.members.index(instance) if instance in join.members else 0,
        tables.MemberState.JOINING,
        join.model,
    )
