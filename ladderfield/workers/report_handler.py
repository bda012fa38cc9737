"""Receives workers' reports on every controller.

The leader puts them into its inbox; other controllers redirect the worker to the leader or relay its report.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

import trio

from ladderfield.http import Reply, Request
from ladderfield.leader.messages import Message, ReportReceived
from ladderfield.leadership import Leadership
from ladderfield.peers import RELAY, PeerAnswer, PeerLink
from ladderfield.settings import Settings
from ladderfield.table_sizes import max_table_entries
from ladderfield.tokens import first_token
from ladderfield.workers.report import ANSWER_TIMEOUT_S, Report, parse_report

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_SHARE = 0.6  # of the worker's timeout may be used to get an answer
RELAY_LEASES = 5.0  # how long a worker's reports are relayed before it is redirected to the leader again
SUSPECT_LEASES = 1.0  # the same if it is only suspected that the worker can't reach the leader
Value = TypeVar("Value")


class ReportHandler:
    """Answers /v1/report."""

    def __init__(self, settings: Settings, leadership: Leadership, links: dict[str, PeerLink]) -> None:
        self.leadership, self.links = leadership, links
        self.lease_s = settings.cluster.workers.lease_s
        # Called with zone and host for each report of a worker that is known to be unable to reach the current leader.
        self.on_leader_unreachable: Callable[[str, str], None] = lambda zone, host: None
        self._unreachable_leader: OrderedDict[str, str] = OrderedDict()  # worker -> the leader that it can't reach
        self.inbox: trio.MemorySendChannel[Message] | None = None  # set while this controller is leader
        self._redirected_at: OrderedDict[str, float] = OrderedDict()  # worker -> when it was redirected to the leader
        self._relayed_until: OrderedDict[str, float] = OrderedDict()  # worker -> until when its reports are relayed
        self._newest_report: OrderedDict[str, tuple[int, int]] = OrderedDict()  # worker -> session and sequence number
        self._max_remembered = max_table_entries(settings)  # workers in each of these tables
        self._warned = False

    async def __call__(self, request: Request) -> Reply | None:
        """The reply, or None if the path is not that of reports."""
        if request.path.partition("?")[0] != "/v1/report":
            return None
        if request.method != "POST":
            return Reply(405, {"error": "method"})
        try:
            report = parse_report(request.body)
        except ValueError as error:
            if not self._warned:
                self._warned = True
                log.warning("refused a malformed report: %s", error)
            return Reply(400, {"error": str(error)})
        if self.inbox is not None:
            return await self._submit_to_leader(report, False)
        return await self._redirect_or_relay(report, request.body)

    async def _redirect_or_relay(self, report: Report, body: bytes) -> Reply:
        """The reply of a controller that is not leader: a redirect to the leader, or the leader's relayed answer."""
        leader = self.leadership.known_leader()
        link = self.links.get(leader or "")
        if link is None:
            return Reply(421, {})
        relay_for_s = None
        if not self._is_late_copy(report):
            relay_for_s = self._relay_duration_s(report, link, trio.current_time())
            if self._unreachable_leader.get(report.host) == leader:
                self.on_leader_unreachable(report.zone, report.host)
        if relay_for_s is None:
            return Reply(421, {"foreman": leader})
        answer = await self._relay(link, body, 0)
        if answer is None or answer.status != 200:
            return Reply(421, {})
        if relay_for_s:
            # Only after an answer: while the leader is down, every worker fails to reach it.
            self._remember(self._relayed_until, report.host, trio.current_time() + relay_for_s)
            self._redirected_at.pop(report.host, None)
        reply = Reply(200)
        reply.body = answer.body
        return reply

    def _is_late_copy(self, report: Report) -> bool:
        """Whether the report is no newer than one received here before.

        A late copy does not show which controllers the worker can reach now.
        """
        order = (report.session, report.sequence)
        if order <= self._newest_report.get(report.host, (-1, -1)):
            return True
        self._remember(self._newest_report, report.host, order)
        return False

    def _relay_duration_s(self, report: Report, link: PeerLink, now: float) -> float | None:
        """Decide whether to relay the report because the worker probably can't reach the leader.

        Returns None if it is to be redirected, else for how many seconds its next reports are relayed too if this one
        gets through (0.0 does not extend the time).

        The worker is taken to be unable to reach the leader if it reports here again soon after a redirect, or if this
        controller can't reach the leader either. It is suspected to be if it shows the leader's token already, so that
        it has been in contact with the leader and left. A redirect would cost such a worker another timeout, and two of
        them take longer than a silent machine is given.
        """
        host = report.host
        if now < self._relayed_until.get(host, 0.0) or not link.reachable:
            return 0.0
        if now - self._redirected_at.get(host, -math.inf) < self.lease_s:
            log.info("machine %s: %s is unreachable from it; relaying its reports", host, link.peer.member)
            self._remember(self._unreachable_leader, host, link.peer.member)
            return RELAY_LEASES * self.lease_s
        # Redirected when a period of relaying has just ended, to find out whether it reaches the leader now.
        relayed_recently = now - self._relayed_until.get(host, -math.inf) < self.lease_s
        epoch = self.leadership.known_epoch()
        if first_token(epoch) <= report.epoch <= epoch and not relayed_recently:
            return SUSPECT_LEASES * self.lease_s
        self._remember(self._redirected_at, host, now)
        return None

    async def _relay(self, link: PeerLink, body: bytes, hops: int) -> PeerAnswer | None:
        """The leader's answer, by way of another controller if the leader is unreachable from here."""
        timeout = ANSWER_TIMEOUT_S * ANSWER_TIMEOUT_SHARE / (1 + hops)
        if link.reachable or hops:
            return await link.ask(RELAY, body, timeout, hops + 1)
        for other in self.links.values():
            if other is not link and other.reachable:
                return await other.ask(RELAY, body, timeout, hops + 1)
        return None

    async def handle_relayed(self, body: bytes, hops: int) -> tuple[int, bytes]:
        """Answer a report relayed by another controller, as the leader or by relaying it once more."""
        try:
            report = parse_report(body)
        except ValueError:
            return 400, b"{}"
        if self.inbox is not None:
            reply = await self._submit_to_leader(report, True)
            return reply.status, reply.body
        link = self.links.get(self.leadership.known_leader() or "")
        if link is not None and hops == 1:
            return await self._relay(link, body, hops) or (421, b"{}")
        return 421, b"{}"

    def send_to_leader(self, message: Message) -> bool:
        """Put a message into the leader's inbox; False if it is full or this controller is not leader."""
        if self.inbox is None:
            return False
        try:
            self.inbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _submit_to_leader(self, report: Report, relayed: bool) -> Reply:
        message = ReportReceived(report, relayed)
        if not self.send_to_leader(message):
            return Reply(503, {})
        with trio.move_on_after(ANSWER_TIMEOUT_S * ANSWER_TIMEOUT_SHARE):
            answer = await message.answer.wait()
            return Reply(421, {}) if answer is None else Reply(200, answer)
        return Reply(503, {})

    def _remember(self, table: OrderedDict[str, Value], host: str, value: Value) -> None:
        """Store a worker's value; the least recently updated one is dropped when the table is full."""
        table[host] = value
        table.move_to_end(host)
        if len(table) > self._max_remembered:
            table.popitem(last=False)
