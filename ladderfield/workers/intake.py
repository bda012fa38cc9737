"""Where reports come in, on every controller: the foreman's go to its inbox, others are sent or carried to it."""

from __future__ import annotations

import logging
from collections import OrderedDict

import trio

from ladderfield.foreman.actor import Reported
from ladderfield.http import Reply, Request
from ladderfield.leadership import Leadership
from ladderfield.peers import RELAY, PeerLink
from ladderfield.settings import Settings
from ladderfield.workers.report import Report, parse_report

log = logging.getLogger(__name__)

WORKER_S = 4.0  # the protocol: how long a worker waits for its answer
ANSWER_BY = 0.6  # of that is ours
RELAY_FOR = 5.0  # of lease_s: then a relayed worker is asked to try the foreman itself again
REMEMBERED = 4096  # workers


class ReportDesk:
    """Answers /v1/report."""

    def __init__(self, settings: Settings, leadership: Leadership, links: dict[str, PeerLink]) -> None:
        self.leadership, self.links = leadership, links
        self.lease_s = settings.cluster.workers.lease_s
        self.inbox: trio.MemorySendChannel | None = None  # set while this controller is foreman
        self._sent_away: OrderedDict[str, float] = OrderedDict()  # worker -> when it was named the foreman
        self._carried: OrderedDict[str, float] = OrderedDict()  # worker -> since when its reports are relayed
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
            return await self._ask_foreman(report)
        foreman = self.leadership.known_foreman()
        link = self.links.get(foreman or "")
        if link is None:
            return Reply(421, {})
        now = trio.current_time()
        since = self._carried.get(report.host)
        came_back = now - self._sent_away.get(report.host, -self.lease_s) < self.lease_s
        if (since is None and not came_back) or (since is not None and now - since > RELAY_FOR * self.lease_s):
            self._carried.pop(report.host, None)
            self._note(self._sent_away, report.host, now)
            return Reply(421, {"foreman": foreman})
        answer = await link.ask(RELAY, request.body, WORKER_S * ANSWER_BY)
        if answer is None or answer[0] != 200:
            return Reply(421, {})
        if since is None:
            log.info("machine %s: can't reach %s, its reports are relayed", report.host, foreman)
            self._note(self._carried, report.host, now)
        reply = Reply(200)
        reply.body = answer[1]
        return reply

    async def relayed(self, body: bytes) -> tuple[int, bytes]:
        """A report that another controller carries to us."""
        try:
            report = parse_report(body)
        except ValueError:
            return 400, b"{}"
        if self.inbox is None:
            return 421, b"{}"
        reply = await self._ask_foreman(report)
        return reply.status, reply.body

    async def _ask_foreman(self, report: Report) -> Reply:
        message = Reported(report)
        try:
            self.inbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return Reply(503, {})
        with trio.move_on_after(WORKER_S * ANSWER_BY):
            await message.done.wait()
            if message.answer is not None:
                return Reply(200, message.answer)
            return Reply(421, {})
        return Reply(503, {})

    @staticmethod
    def _note(table: OrderedDict[str, float], host: str, now: float) -> None:
        table[host] = now
        table.move_to_end(host)
        if len(table) > REMEMBERED:
            table.popitem(last=False)


