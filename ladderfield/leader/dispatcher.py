"""Pushes orders to workers over ``/orders``, concurrently and within a share of the connections."""

from __future__ import annotations

import logging
import math

import trio

from ladderfield.connectivity.authority import Decision
from ladderfield.http import Client, NoAnswerError
from ladderfield.leader.messages import Message, OrdersAnswered
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leader.scheduling_pass import OVERDUE_REPORT_INTERVALS
from ladderfield.settings import Settings, address
from ladderfield.term import Term
from ladderfield.workers.machine import Machine
from ladderfield.workers.orders import Order, OrdersRequest, log_orders
from ladderfield.workers.report import parse_report

log = logging.getLogger(__name__)

PUSH_CONNECTION_SHARE = 1 / 24  # of max_connections: maximum number of concurrent pushes
KEPT_CONNECTION_SHARE = 1 / 10  # of max_connections: idle connections to workers kept open for later pushes
UNREACHABLE_PUSH_SHARE = 0.5  # of concurrent pushes: limit for machines that may be unreachable
PUSH_TIMEOUT_REPORT_INTERVALS = 1.0


def _has_unsent_stop(machine: Machine) -> bool:
    """Whether a claim on the machine is being stopped and no stop order was sent yet."""
    return any(claim.stop_reason is not None and claim.stop_sent_at == -math.inf for claim in machine.claims.values())


class Dispatcher:
    """Decides which machines get a push now, and sends it."""

    nursery: trio.Nursery  # where pushes run

    def __init__(
        self, settings: Settings, term: Term, scheduler: Scheduler, inbox: trio.MemorySendChannel[Message]
    ) -> None:
        self.term, self.scheduler, self.inbox = term, scheduler, inbox
        self.report_s = settings.cluster.workers.report_s
        sockets = settings.cluster.quota.max_connections
        self.max_pushes = max(2, int(sockets * PUSH_CONNECTION_SHARE))
        self.max_kept_connections = int(sockets * KEPT_CONNECTION_SHARE)
        self._requested: set[str] = set()
        self._in_flight: dict[str, bool] = {}  # hosts with a push in flight, and whether they may be unreachable
        self._clients: dict[str, Client] = {}  # by host, least recently used first

    def request(self, host: str) -> None:
        """Request a push of the machine's pending orders as soon as one can be started."""
        self._requested.add(host)

    def push_finished(self, host: str) -> None:
        """The push to a machine has ended."""
        self._in_flight.pop(host, None)

    def forget(self, host: str) -> None:
        """Close the connection to a deleted machine."""
        client = self._clients.pop(host, None)
        if client is not None:
            self.nursery.start_soon(client.close_idle)

    def may_be_unreachable(self, machine: Machine, now: float) -> bool:
        """Whether the machine's report is overdue or it does not receive our answers."""
        return (
            machine.unreachable_since is not None
            or machine.silent_for(now, self.scheduler.term_from) > OVERDUE_REPORT_INTERVALS * self.report_s
        )

    def request_due(self, now: float) -> None:
        """Request pushes to machines with an unsent stop order, and to those that may be unreachable."""
        for machine in self.scheduler.machines.values():
            if machine.claims and self._has_accepted(machine) and _has_unsent_stop(machine):
                self.request(machine.host)
            elif machine.first_report_at is not None and self.may_be_unreachable(machine, now):
                self.request(machine.host)  # it may still receive pushes while it searches for the leader

    def dispatch(self, now: float) -> None:
        """Start requested pushes. Those to possibly unreachable machines may time out, so they get only a share."""
        unreachable_pushes = sum(1 for unreachable in self._in_flight.values() if unreachable)
        for host in list(self._requested):
            if len(self._in_flight) >= self.max_pushes:
                break
            machine = self.scheduler.machines.get(host)
            if machine is None or not machine.endpoint:
                self._requested.discard(host)
                continue
            unreachable = self.may_be_unreachable(machine, now)
            if host in self._in_flight or (
                unreachable and unreachable_pushes >= self.max_pushes * UNREACHABLE_PUSH_SHARE
            ):
                continue
            self._requested.discard(host)
            if self._start_push(machine, unreachable, now):
                unreachable_pushes += unreachable

    def _start_push(self, machine: Machine, unreachable: bool, now: float) -> bool:
        """Start a push unless it would carry nothing new or the machine reports through another controller."""
        if machine.relayed and not unreachable:
            return False  # likely unreachable from here; its orders are sent in the relayed answers
        orders: list[Order] = []
        if self._has_accepted(machine):
            may_launch = self.term.authority().allows(Decision.LAUNCH, now)
            orders = self.scheduler.sessions.orders(machine, now, None, may_launch)
        if not orders and not unreachable and self._has_accepted(machine):
            return False
        self._in_flight[machine.host] = unreachable
        # The push names the session that these orders were made for. A later session must refuse them: its start has
        # ended the claim, so the launch would start the task a second time (ran_twice).
        body = OrdersRequest(self.scheduler.fencing.token(machine), max(machine.session, 1), orders)
        log_orders(machine.host, "/orders", body.token, body.session, orders)
        self.nursery.start_soon(self._push, machine, body)
        return True

    def _has_accepted(self, machine: Machine) -> bool:
        """Whether the machine has shown a token of this term."""
        return self.scheduler.fencing.owns(machine.epoch)

    async def _push(self, machine: Machine, body: OrdersRequest) -> None:
        host = machine.host
        attempts = [order.attempt for order in body.orders if order.verb == "launch"]
        executed, report = False, None
        client = self._clients.pop(host, None)
        try:
            client = client or Client(*address(machine.endpoint), max_idle=1)
            self._clients[host] = client
            status, data = await client.call("POST", "/orders", body, PUSH_TIMEOUT_REPORT_INTERVALS * self.report_s)
            executed = status == 200
            if status == 409:
                log.debug("machine %s: push refused (409), token %d, session %d", host, body.token, body.session)
            if status in (200, 409):
                report = parse_report(data)
        except (NoAnswerError, ValueError) as error:
            log.debug("machine %s: push failed: %s", host, error)
            self._clients.pop(host, None)
        if client is not None and client is not self._clients.get(host):
            await client.close_idle()
        await self._close_oldest_connections()
        await self.inbox.send(OrdersAnswered(host, attempts, executed, report))

    async def _close_oldest_connections(self) -> None:
        """Close the least recently used connections beyond the limit, as workers and users need the rest."""
        while len(self._clients) > self.max_kept_connections:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).close_idle()
