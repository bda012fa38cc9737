"""A leader that workers can't reach makes way, in order, for a controller that they can."""

from __future__ import annotations

import logging
import time

import trio

from ladderfield.connectivity.reachability import Reachability
from ladderfield.connectivity.resignations import RESIGNATIONS, ResignationHistory
from ladderfield.connectivity.succession import Succession
from ladderfield.leader.writer import Writer
from ladderfield.leadership import EPOCH
from ladderfield.rollout import Rollout
from ladderfield.state import StateClient, StateServiceError
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

LOOK = 0.05  # of report_s: how often a write under way is looked at
AGAIN = 2.0  # of report_s: the pause after a resignation that was not carried through


class Resignation:
    """Resigns for one leader: no new claims, the write under way answered, on record, over, the lease released.

    Claims stand and services run on. The term is over here before the lease is released, so nothing is decided by an
    epoch that another may already follow. Each step asks anew whether it is still right: a cut may have healed.
    """

    nursery: trio.Nursery  # where it runs

    def __init__(
        self,
        term: Term,
        member: str,
        succession: Succession,
        reachability: Reachability,
        rollout: Rollout,
        writer: Writer,
        client: StateClient,
        view: View,
    ) -> None:
        self.term, self.member, self.succession, self.reachability = term, member, succession, reachability
        self.rollout, self.writer, self.client, self.view = rollout, writer, client, view
        self.report_s = reachability.report_s
        self.history = ResignationHistory(reachability.lease_s)
        self._term_from = trio.current_time()
        self._not_before = self._term_from

    def consider(self, now: float) -> None:
        """Begin to resign if that is due."""
        if self.term.resigning or now < self._not_before or self.better_peer(now) is None:
            return
        if not self.rollout.reach_everywhere or time.time() < self._backoff_until():
            return
        self.term.resigning = True
        self.nursery.start_soon(self._resign)

    def better_peer(self, now: float) -> str | None:
        """For whom to make way, as far as is known now; only while the lease is surely ours, so that it can be done."""
        if not self.term.authority().lease_holds(now):
            return None
        own = self.reachability.total(now)
        return self.succession.should_resign(own, self.reachability.cut, self._term_from, now)

    def _backoff_until(self) -> float:
        """The time of day before which nobody should resign again, whoever resigned last."""
        return self.history.not_before(self.view.get(RESIGNATIONS), time.time())

    async def _resign(self) -> None:
        peer = self.better_peer(trio.current_time())
        log.info("epoch %d: resigns, as %s reaches more workers", self.term.epoch, peer)
        if await self._settle() and await self._record():
            peer = self.better_peer(trio.current_time())
            if peer is not None:
                self.succession.resigned_at = trio.current_time()
                self.term.released = True
                self.term.end(f"resigned, as {peer} reaches more workers")
                return
        log.info("epoch %d: does not resign after all", self.term.epoch)
        self.term.resigning = False
        self._not_before = trio.current_time() + AGAIN * self.report_s

    async def _settle(self) -> bool:
        """Let the write under way be answered, for as long as the lease surely lasts; whether it was."""
        with trio.move_on_after(self.term.ttl):
            while self.writer.unanswered:
                await trio.sleep(LOOK * self.report_s)
            return self.better_peer(trio.current_time()) is not None
        return False

    async def _record(self) -> bool:
        """Put the resignation on record, so that the next leaders stay in office for a while."""
        guards = {EPOCH: self.term.stamp, RESIGNATIONS: self.view.stamp(RESIGNATIONS)}
        value = self.history.next(self.view.get(RESIGNATIONS), self.member, time.time())
        try:
            await self.client.leader_writes.take(urgent=True)
            outcome = await self.client.commit(guards, {RESIGNATIONS: value}, [], self.term.ttl / 2)
        except StateServiceError as error:
            log.info("epoch %d: the resignation is not on record: %s", self.term.epoch, error)
            return False
        return outcome.failed is None
