"""Deliver orders to engines and follow what they do with them."""

import asyncio
from collections.abc import Callable
import json

import attrs
import cattrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from balsamlug.router import upstream

ORDER_TIMEOUT_S = 0.6
# First look at an engine after an order, when its time is not known better.
FIRST_LOOK_S = 0.22
# Looks at an engine that has not finished an order.
LOOK_INTERVAL_S = 0.15
MAX_LOOKS = 6
ACCEPTED = frozenset({200, 202})
UNANSWERED = 0
# The engine was already as the order wants it.
UNCHANGED = 200


class EngineApi:
    """Encoding of orders and reports; the platform's adapter provides it.

    Attributes:
      order_path, report_path: paths on an engine.
      stale_status: an engine answers it to an order of a former holder.
      encode: returns the body of a command.
      decode: returns incarnation and announcement of a report's body.
    """

    def __init__(
        self,
        order_path: str,
        report_path: str,
        stale_status: int,
        encode: Callable[[commands.Command], dict],
        decode: Callable[[dict], tuple[str, dict]],
    ) -> None:
        self.order_path = order_path
        self.report_path = report_path
        self.stale_status = stale_status
        self.encode = encode
        self.decode = decode

    async def report(self, address: str) -> tuple[str, tables.Announcement]:
        """Return incarnation and announcement of an engine.

        Raises:
          UpstreamUnreachable, UpstreamFailed: it does not answer.
        """
        call = upstream.Call(address, "GET", self.report_path)
        resp, body = await upstream.fetch(call, ORDER_TIMEOUT_S)
        if resp.status != 200:
            raise exceptions.UpstreamFailed(f"report: status {resp.status}")
        try:
            incarnation, raw = self.decode(json.loads(body))
            told = cattrs.structure(raw, tables.Announcement)
        except (LookupError, TypeError, ValueError, AttributeError) as exc:
            raise exceptions.UpstreamFailed(f"report: {exc}") from exc
        return incarnation, told

    async def order(self, address: str, command: commands.Command) -> int:
        """Send an order and return the status of its answer.

        Raises:
          UpstreamUnreachable, UpstreamFailed: there was no answer.
        """
        body = json.dumps(self.encode(command)).encode()
        headers = {"Content-Type": "application/json"}
        call = upstream.Call(address, "POST", self.order_path, headers, body)
        resp, _ = await upstream.fetch(call, ORDER_TIMEOUT_S)
        return resp.status


@attrs.define(eq=False)
class OrderSender:
    """Send orders and look at the engines until they have done them.

    Attributes:
      on_progress: called when an engine is known to have moved on.
    """

    _api: EngineApi
    _fleet: fleet.FleetState
    _listed: listing.Listed
    _clock: clocks.Clock
    on_progress: Callable[[], None] = lambda: None
    _looks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    async def send(
        self, address: str, command: commands.Command
    ) -> tuple[int, dict]:
        """Return status and body as the dispatcher of orders expects them.

        Raises:
          OSError: the engine did not answer.
        """
        instance = self._instance(address)
        if isinstance(command, commands.Join):
            await self._leave_before(address, instance, command)
        status = await self._order(address, instance, command)
        if status == self._api.stale_status:
            newer = group_table.fencing(command.fencing + 1, 0)
            return orders.STALE_FENCING_STATUS, {"fencing": newer}
        if status in ACCEPTED:
            self._accepted(instance, command, status)
        else:
            self._look(instance, LOOK_INTERVAL_S)
        return 200, {}

    async def _leave_before(
        self, address: str, instance: str, join: commands.Join
    ) -> None:
        """End a membership that an earlier order may have begun.

        Raises:
          OSError: the engine may still be in the other group.
        """
        wanted = join.group, join.generation
        former = self._listed.unconfirmed_group(instance, *wanted)
        if former is not None:
            leave = commands.Leave(join.fencing, *former)
            status = await self._order(address, instance, leave)
            if status not in ACCEPTED:
                raise OSError(f"not released from {former[0]}: {status}")
        self._listed.record_join_order(instance, *wanted)

    async def _order(
        self, address: str, instance: str, command: commands.Command
    ) -> int:
        try:
            status = await self._api.order(address, command)
        except exceptions.Refusal as exc:
            self._log(instance, command, UNANSWERED, str(exc))
            self._look(instance, FIRST_LOOK_S)
            raise OSError(str(exc)) from exc
        self._log(instance, command, status, "")
        return status

    def stop(self) -> None:
        """Stop to look at engines."""
        for task in self._looks.values():
            task.cancel()

    def _accepted(
        self, instance: str, command: commands.Command, status: int
    ) -> None:
        if isinstance(command, commands.Leave):
            if self._listed.record_leave(
                instance, command.group, command.generation
            ):
                self.on_progress()
            else:
                self._look(instance, 0.0)
            return
        if isinstance(command, commands.Join) and status != UNCHANGED:
            self._listed.record_join(instance, _membership(instance, command))
        self._look(instance, self._expected_s(instance, command))

    def _expected_s(self, instance: str, command: commands.Command) -> float:
        """Return when an engine has probably done an order."""
        catalogue = self._fleet.catalogue
        if isinstance(command, commands.Open):
            forms = [e.form_ms for _, e in catalogue.engines()]
            return max(forms, default=0.0) / clocks.MS_PER_S
        if isinstance(command, commands.Stage) and self._announces(instance):
            found = catalogue.models.get(command.model)
            return found[1].load_s if found is not None else FIRST_LOOK_S
        # A former member is back sooner than a staged host; the list tells
        # when a join takes longer.
        return FIRST_LOOK_S

    def _announces(self, instance: str) -> bool:
        current = self._listed.current(instance)
        return current is not None and current.announcement is not None

    def _look(self, instance: str, after_s: float) -> None:
        task = self._looks.pop(instance, None)
        if task is not None:
            task.cancel()
        self._looks[instance] = asyncio.create_task(
            self._follow(instance, after_s)
        )

    async def _follow(self, instance: str, after_s: float) -> None:
        for _ in range(MAX_LOOKS):
            await asyncio.sleep(after_s)
            after_s = LOOK_INTERVAL_S
            current = self._listed.current(instance)
            if current is None:
                return
            try:
                told = await self._api.report(current.address)
            except exceptions.Refusal as exc:
                eliot.log_message(
                    "report_missing", instance=instance, error=str(exc)
                )
                continue
            self._listed.record_report(instance, *told)
            self.on_progress()
            if not _is_moving(told[1]):
                return

    def _instance(self, address: str) -> str:
        found = (
            i.id for i in self._fleet.instances.values() if i.address == address
        )
        return next(found, self._hidden(address))

    def _hidden(self, address: str) -> str:
        """Return an engine at an address that is not in the list."""
        for instance in self._listed.retained():
            current = self._listed.current(instance)
            if current is not None and current.address == address:
                return instance
        return ""

    def _log(
        self,
        instance: str,
        command: commands.Command,
        status: int,
        error: str,
    ) -> None:
        eliot.log_message(
            "order_sent",
            instance=instance,
            order=type(command).__name__.lower(),
            status=status,
            error=error,
            **attrs.asdict(command),
        )


def _membership(instance: str, join: commands.Join) -> tables.Membership:
    """Return what an engine becomes that has accepted to join a group."""
    return tables.Membership(
        join.group,
        join.generation,
        join.members.index(instance) if instance in join.members else 0,
        tables.MemberState.JOINING,
        join.model,
    )


def _is_moving(told: tables.Announcement) -> bool:
    member = told.membership
    if member is None:
        return told.busy
    return member.state is tables.MemberState.JOINING
