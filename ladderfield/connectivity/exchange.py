"""Tells the other controllers of our reach, and learns of theirs, over ``back``."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import trio

from ladderfield.connectivity.links import Exchange
from ladderfield.connectivity.reach_message import ReachMessage, ReachMessageError, StaleReachError, check, parse
from ladderfield.connectivity.reachability import Reachability, Side
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.leadership import Leadership
from ladderfield.peers import REACH, PeerLink
from ladderfield.rollout import REACH_EXCHANGE, level_of
from ladderfield.settings import Settings
from ladderfield.view import View

log = logging.getLogger(__name__)

SILENT = 2.0  # of report_s: a peer that used to ask us and has not for so long can't reach us


class ReachExchange:
    """Asks and answers. Without a ``succession`` (the feature is off) it only answers."""

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
        self.refused = 0  # messages that could not be taken
        self._logged: set[type[ReachMessageError]] = set()  # kinds of refusals that were told
        self._heard_at: dict[str, float] = {}

    def message(self, now: float) -> ReachMessage:
        """Our own reach, of the machines that others can know too: a leader knows idle ones as well.

        What reports to a leader has not come back from one: a leader that another has followed, and that does not know
        it yet, would make its successor believe that no worker can reach it.
        """
        reachability, reach = self.reachability, self.reachability.total(now)
        known = min(reach.known, reachability.workers.on_record)
        reach = reach._replace(known=known, heard=0 if reachability.workers.leads else min(reach.heard, known))
        return ReachMessage(self.settings.member, self.leadership.latest()[0], reachability.state_ok, reach)

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """The answer to a peer that tells its reach: ours."""
        now = trio.current_time()
        member = self._take(body, now)
        if member is None:
            return 400, b""
        self._heard_at[member] = now
        self.reachability.note(Side.PEER_IN, Exchange.ANSWERED, now, member)
        return 200, self.message(now).pack()

    async def ask_all(self, timeout: float) -> None:
        """Tell every controller whose program takes it, and take in what they answer. Within ``timeout`` seconds."""
        if self.succession is None:
            return
        now = trio.current_time()
        for member, heard_at in self._heard_at.items():
            if now - heard_at > SILENT * self.settings.cluster.workers.report_s:
                self.reachability.note(Side.PEER_IN, Exchange.LOST, now, member)
        body = self.message(now).pack()
        async with trio.open_nursery() as nursery:
            for member, link in self.links.items():
                if level_of(self.view, member) >= REACH_EXCHANGE:
                    nursery.start_soon(self._ask, link, body, timeout)

    async def _ask(self, link: PeerLink, body: bytes, timeout: float) -> None:
        reply = await link.ask(REACH, body, timeout)
        if reply is not None and reply.status == 200:
            self._take(reply.body, trio.current_time())

    def _take(self, body: bytes, now: float) -> str | None:
        """Take a message in; its sender, or None if it is refused."""
        try:
            message = parse(body)
            epoch, known = self.leadership.latest()[0], self.reachability.total(now).known
            check(message, self.links, len(self.settings.cluster.zones), epoch, known)
        except ReachMessageError as error:
            self.refused += 1
            if type(error) not in self._logged:
                self._logged.add(type(error))
                level = logging.INFO if isinstance(error, StaleReachError) else logging.WARNING
                log.log(level, "a message of a controller's reach is refused: %s", error)
            return None
        if self.succession is not None:
            self.succession.heard(message.member, PeerReach(message.reach, message.state_ok, now))
        return message.member
