"""Where reports come in, on every controller: the leader's go to its inbox, others are sent or carried to it."""

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
from ladderfield.table_sizes import most_entries
from ladderfield.workers.report import ANSWER_S, Report, parse_report

log = logging.getLogger(__name__)

ANSWER_SHARE = 0.6  # of the time that a worker waits for its answer is ours
RELAY_FOR = 5.0  # of lease_s: then a relayed worker is sent to the leader itself again
SUSPECT_FOR = 1.0  # of lease_s: the same for one of which it is only a guess that it can't reach the leader
Value = TypeVar("Value")


class ReportHandler:
    """Answers /v1/report."""

    def __init__(self, settings: Settings, leadership: Leadership, links: dict[str, PeerLink]) -> None:
        self.leadership, self.links = leadership, links
        self.lease_s = settings.cluster.workers.lease_s
        # Told of each report of a worker (its zone and host) that surely can't reach the present leader.
        self.unable: Callable[[str, str], None] = lambda zone, host: None
        self._unable_to_reach: OrderedDict[str, str] = OrderedDict()  # worker -> the leader from which it came back
        self.inbox: trio.MemorySendChannel[Message] | None = None  # set while this controller is leader
        self._redirected_at: OrderedDict[str, float] = OrderedDict()  # worker -> when it was named the leader
        self._relayed_until: OrderedDict[str, float] = OrderedDict()  # worker -> until when its reports are relayed
        self._newest: OrderedDict[str, tuple[int, int]] = OrderedDict()  # worker -> tenure and tick
        self._most_remembered = most_entries(settings)  # workers
        self._warned = False

    async def __call__(self, request: Request) -> Reply | None:
        """The answer, or None if the path is another."""
        if request.path.partition("?")[0] != "/v1/report":
            return None
        if request.method != "POST":
            return Reply(405, {"error": "method"})
        try:
            report = parse_report(request.body)
        except ValueError as error:
            if not self._warned:
                self._warned = True
                log.warning("a malformed report was refused: %s", error)
            return Reply(400, {"error": str(error)})
        if self.inbox is not None:
            return await self._ask_leader(report, False)
        return await self._send_on(report, request.body)

    async def _send_on(self, report: Report, body: bytes) -> Reply:
        """The answer of a controller that is not leader: the leader's name, or the leader's own answer."""
        leader = self.leadership.known_leader()
        link = self.links.get(leader or "")
        if link is None:
            return Reply(421, {})
        relay_for = None
        if not self._is_late_copy(report):
            relay_for = self._relay_for(report, link, trio.current_time())
            if self._unable_to_reach.get(report.host) == leader:
                self.unable(report.zone, report.host)
        if relay_for is None:
            return Reply(421, {"foreman": leader})
        answer = await self._relay(link, body, 0)
        if answer is None or answer.status != 200:
            return Reply(421, {})
        if relay_for:
            # Only now: the leader is there and answers us. While it is gone, everybody comes back from it.
            self._remember(self._relayed_until, report.host, trio.current_time() + relay_for)
            self._redirected_at.pop(report.host, None)
        reply = Reply(200)
        reply.body = answer.body
        return reply

    def _is_late_copy(self, report: Report) -> bool:
        """Whether the report is no newer than one that came here before.

        A late copy tells nothing about whom the worker can reach now.
        """
        order = (report.tenure, report.tick)
        if order <= self._newest.get(report.host, (-1, -1)):
            return True
        self._remember(self._newest, report.host, order)
        return False

    def _relay_for(self, report: Report, link: PeerLink, now: float) -> float | None:
        """Whether the worker likely can't reach the leader, so that its report is relayed.

        The answer is None if not, else for how long its next ones are to be relayed too if this one gets there.

        It came back after it was sent there; or we can't reach the leader ourselves; or it has taken the leader's
        epoch already, so it was there and left. The last is only a guess, but to send it there at once would cost it
        another wait for nothing: two of them are more than a silent machine is given.
        """
        host = report.host
        if now < self._relayed_until.get(host, 0.0) or not link.reachable:
            return 0.0
        if now - self._redirected_at.get(host, -math.inf) < self.lease_s:
            log.info("machine %s: can't reach %s, its reports are relayed", host, link.peer.member)
            self._remember(self._unable_to_reach, host, link.peer.member)
            return RELAY_FOR * self.lease_s
        lately = now - self._relayed_until.get(host, -math.inf) < self.lease_s  # then it is sent there, to see
        if report.epoch == self.leadership.known_epoch() and not lately:
            return SUSPECT_FOR * self.lease_s
        self._remember(self._redirected_at, host, now)
        return None

    async def _relay(self, link: PeerLink, body: bytes, hops: int) -> PeerAnswer | None:
        """The leader's answer, asked directly, or by way of another controller if we can't reach it."""
        timeout = ANSWER_S * ANSWER_SHARE / (1 + hops)
        if link.reachable or hops:
            return await link.ask(RELAY, body, timeout, hops + 1)
        for other in self.links.values():
            if other is not link and other.reachable:
                return await other.ask(RELAY, body, timeout, hops + 1)
        return None

    async def relayed(self, body: bytes, hops: int) -> tuple[int, bytes]:
        """A report that another controller carries to us: we are the leader, or may reach it."""
        try:
            report = parse_report(body)
        except ValueError:
            return 400, b"{}"
        if self.inbox is not None:
            reply = await self._ask_leader(report, True)
            return reply.status, reply.body
        link = self.links.get(self.leadership.known_leader() or "")
        if link is not None and hops == 1:
            return await self._relay(link, body, hops) or (421, b"{}")
        return 421, b"{}"

    def tell_leader(self, message: Message) -> bool:
        """Put a message into the leader's inbox; False if it is full, or we aren't leader."""
        if self.inbox is None:
            return False
        try:
            self.inbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _ask_leader(self, report: Report, relayed: bool) -> Reply:
        message = ReportReceived(report, relayed)
        if not self.tell_leader(message):
            return Reply(503, {})
        with trio.move_on_after(ANSWER_S * ANSWER_SHARE):
            answer = await message.answer.wait()
            return Reply(421, {}) if answer is None else Reply(200, answer)
        return Reply(503, {})

    def _remember(self, table: OrderedDict[str, Value], host: str, value: Value) -> None:
        """Keep a worker's value; the one noted first goes when there are too many."""
        table[host] = value
        table.move_to_end(host)
        if len(table) > self._most_remembered:
            table.popitem(last=False)
