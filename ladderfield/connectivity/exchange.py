"""Sends this controller's reach to the other controllers over ``back``, and receives theirs."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import trio

from ladderfield.connectivity.links import Exchange
from ladderfield.connectivity.reach_message import ReachMessage, ReachMessageError, StaleReachError, check, parse
from ladderfield.connectivity.reachability import LinkKind, Reachability
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.leadership import Leadership
from ladderfield.peers import REACH, PeerLink
from ladderfield.rollout import REACH_EXCHANGE, level_of
from ladderfield.settings import Settings
from ladderfield.view import View

log = logging.getLogger(__name__)

SILENT_PEER_REPORT_INTERVALS = 2.0  # a peer whose requests have stopped for longer can't reach us


class ReachExchange:
    """Sends and answers reach messages. Without a ``succession`` (the feature is off) it only answers."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        view: View,
        reachability: Reachability,
        links: Mapping[str, PeerLink],
        succession: Succession | None,
    ) -> None:
        self.settings, self.leadership, self.view = settings, leadership, view
        self.reachability, self.links, self.succession = reachability, links, succession
        self.refused = 0  # messages that were rejected
        self._logged_kinds: set[type[ReachMessageError]] = set()  # kinds of rejections that were logged
        self._last_request_at: dict[str, float] = {}

    def message(self, now: float) -> ReachMessage:
        """This controller's reach, over machines that the others can know too: a leader also knows idle ones.

        A leader counts no worker as reporting, since none fell back to it from another leader. Otherwise a leader that
        has been superseded without knowing it would make its successor believe that workers can't reach the successor.
        """
        reachability, reach = self.reachability, self.reachability.total(now)
        known = min(reach.known, reachability.workers.on_record)
        reach = reach._replace(
            known=known, reporting=0 if reachability.workers.is_leader else min(reach.reporting, known)
        )
        return ReachMessage(self.settings.member, self.leadership.latest_known()[0], reachability.state_ok, reach)

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """The answer to a peer's reach message: our own."""
        now = trio.current_time()
        member = self._accept(body, now)
        if member is None:
            return 400, b""
        self._last_request_at[member] = now
        self.reachability.note(LinkKind.PEER_IN, Exchange.ANSWERED, now, member)
        return 200, self.message(now).pack()

    async def ask_all(self, timeout: float) -> None:
        """Exchange messages with every controller whose version understands them, within ``timeout`` seconds."""
        if self.succession is None:
            return
        now = trio.current_time()
        for member, last_request_at in self._last_request_at.items():
            if now - last_request_at > SILENT_PEER_REPORT_INTERVALS * self.settings.cluster.workers.report_s:
                self.reachability.note(LinkKind.PEER_IN, Exchange.LOST, now, member)
        body = self.message(now).pack()
        async with trio.open_nursery() as nursery:
            for member, link in self.links.items():
                if level_of(self.view, member) >= REACH_EXCHANGE:
                    nursery.start_soon(self._ask, link, body, timeout)

    async def _ask(self, link: PeerLink, body: bytes, timeout: float) -> None:
        reply = await link.ask(REACH, body, timeout)
        if reply is not None and reply.status == 200:
            self._accept(reply.body, trio.current_time())

    def _accept(self, body: bytes, now: float) -> str | None:
        """Check and store a message; its sender, or None if it is rejected."""
        try:
            message = parse(body)
            epoch, known = self.leadership.latest_known()[0], self.reachability.total(now).known
            check(message, self.links, len(self.settings.cluster.zones), epoch, known)
        except ReachMessageError as error:
            self.refused += 1
            if type(error) not in self._logged_kinds:
                self._logged_kinds.add(type(error))
                level = logging.INFO if isinstance(error, StaleReachError) else logging.WARNING
                log.log(level, "rejected a reach message: %s", error)
            return None
        if self.succession is not None:
            self.succession.note_peer(message.member, PeerReach(message.reach, message.state_ok, now))
        return message.member
