"""Pushes of orders to workers over ``/orders``, many at a time, within a share of the sockets."""

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
from ladderfield.workers.orders import Order, OrdersRequest
from ladderfield.workers.report import parse_report

log = logging.getLogger(__name__)

PUSHES_SHARE = 1 / 24  # of the sockets: pushes at once, at most
KEPT_SHARE = 1 / 10  # of the sockets: connections to workers that are kept for the next push
SLOW_SHARE = 0.5  # of the pushes: for machines that may not answer
PUSH_TIMEOUT = 1.0  # of report_s: how long a push waits for its answer


def _has_untold_stop(machine: Machine) -> bool:
    """Whether a stop has not been told yet."""
    return any(claim.stopping is not None and claim.stop_at == -math.inf for claim in machine.claims.values())


class Dispatcher:
    """Decides which machines get a push now, and makes it."""

    nursery: trio.Nursery  # where pushes run

    def __init__(
        self, settings: Settings, term: Term, scheduler: Scheduler, inbox: trio.MemorySendChannel[Message]
    ) -> None:
        self.term, self.scheduler, self.inbox = term, scheduler, inbox
        self.report_s = settings.cluster.workers.report_s
        sockets = settings.cluster.quota.max_connections
        self.most_pushes = max(2, int(sockets * PUSHES_SHARE))
        self.most_kept = int(sockets * KEPT_SHARE)
        self._waiting: set[str] = set()
        self._under_way: dict[str, bool] = {}  # and whether the machine was silent then
        self._clients: dict[str, Client] = {}  # by host, those used last at the end

    def request(self, host: str) -> None:
        """Have the machine told what it has to be told, as soon as a push is free."""
        self._waiting.add(host)

    def finished(self, host: str) -> None:
        """The push to a machine is over."""
        self._under_way.pop(host, None)

    def forget(self, host: str) -> None:
        """The machine is gone, and with it the connection to it."""
        client = self._clients.pop(host, None)
        if client is not None:
            self.nursery.start_soon(client.drop)

    def doubtful(self, machine: Machine, now: float) -> bool:
        """Whether it is overdue or does not seem to hear us."""
        return (
            machine.not_hearing_since is not None
            or machine.silent_for(now, self.scheduler.term_from) > OVERDUE_REPORT_INTERVALS * self.report_s
        )

    def request_due(self, now: float) -> None:
        """Request pushes to machines that have not been told of a stop, or that may not hear us."""
        for machine in self.scheduler.machines.values():
            if machine.claims and machine.epoch == self.term.epoch and _has_untold_stop(machine):
                self.request(machine.host)
            elif machine.up_at is not None and self.doubtful(machine, now):
                self.request(machine.host)  # to learn whether it hears us, and is only looking for us

    def dispatch(self, now: float) -> None:
        """Begin pushes. Machines that were not heard lately may let theirs wait long; these get only a part."""
        slow = sum(1 for silent in self._under_way.values() if silent)
        for host in list(self._waiting):
            if len(self._under_way) >= self.most_pushes:
                break
            machine = self.scheduler.machines.get(host)
            if machine is None or not machine.endpoint:
                self._waiting.discard(host)
                continue
            silent = self.doubtful(machine, now)
            if host in self._under_way or (silent and slow >= self.most_pushes * SLOW_SHARE):
                continue
            self._waiting.discard(host)
            if self._begin(machine, silent, now):
                slow += silent

    def _begin(self, machine: Machine, silent: bool, now: float) -> bool:
        """Begin a push unless there is nothing to say, or no way to say it from here."""
        if machine.relayed and not silent:
            return False  # another controller reaches it, we likely don't: its orders go with the answers
        orders: list[Order] = []
        if machine.epoch == self.term.epoch:
            may_launch = self.term.authority().allows(Decision.LAUNCH, now)
            orders = self.scheduler.sessions.orders(machine, now, None, may_launch)
        if not orders and not silent and machine.epoch == self.term.epoch:
            return False
        self._under_way[machine.host] = silent
        # The session for which these orders were made: one that began since must refuse them, or a launch would
        # stand there with no claim behind it (ran_twice).
        self.nursery.start_soon(self._push, machine, max(machine.tenure, 1), orders)
        return True

    async def _push(self, machine: Machine, tenure: int, orders: list[Order]) -> None:
        host = machine.host
        attempts = [order.attempt for order in orders if order.verb == "launch"]
        executed, report = False, None
        client = self._clients.pop(host, None)
        try:
            client = client or Client(*address(machine.endpoint), keep=1)
            self._clients[host] = client
            body = OrdersRequest(self.term.epoch, tenure, orders)
            status, data = await client.call("POST", "/orders", body, PUSH_TIMEOUT * self.report_s)
            executed = status == 200
            if status in (200, 409):
                report = parse_report(data)
        except (NoAnswerError, ValueError) as error:
            log.debug("machine %s: no answer to orders: %s", host, error)
            self._clients.pop(host, None)
        if client is not None and client is not self._clients.get(host):
            await client.drop()
        await self._drop_oldest()
        await self.inbox.send(OrdersAnswered(host, attempts, executed, report))

    async def _drop_oldest(self) -> None:
        """Sockets are for workers and users first: the connections used last are kept, the others made again."""
        while len(self._clients) > self.most_kept:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).drop()
