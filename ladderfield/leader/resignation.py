"""An orderly handover: a leader that workers can't reach resigns in favour of a controller that they can."""

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

POLL_REPORT_INTERVALS = 0.05  # poll period while a write is unanswered
RETRY_REPORT_INTERVALS = 2.0  # pause after an abandoned resignation


class Resignation:
    """Resigns one leader.

    The steps are: make no new claims, wait until the current write is answered, record the resignation, end the term,
    release the lease. Claims stay valid and services keep running. The term ends before the lease is released, so
    nothing is decided under an epoch that a successor may already have replaced. Each step checks again whether
    resigning is still right, as the network cut may have healed.
    """

    nursery: trio.Nursery  # runs the resignation

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
        self._term_started_at = trio.current_time()
        self._not_before = self._term_started_at

    def consider(self, now: float) -> None:
        """Start to resign if that is due."""
        if self.term.resigning or now < self._not_before or self.better_peer(now) is None:
            return
        if not self.rollout.supports_reach_exchange or time.time() < self._backoff_until():
            return
        self.term.resigning = True
        self.nursery.start_soon(self._resign)

    def better_peer(self, now: float) -> str | None:
        """Return the peer to resign for, if any. None unless this leader surely holds the lease and can release it."""
        if not self.term.authority().lease_holds(now):
            return None
        own = self.reachability.total(now)
        return self.succession.should_resign(own, self.reachability.cut, self._term_started_at, now)

    def _backoff_until(self) -> float:
        """The wall clock time before which no leader should resign again, whichever resigned last."""
        return self.history.not_before(self.view.get(RESIGNATIONS), time.time())

    async def _resign(self) -> None:
        """Go through the steps of the resignation, and abandon it if one fails or the peer is no longer better."""
        peer = self.better_peer(trio.current_time())
        log.info("epoch %d: resigns, as %s reaches more workers", self.term.epoch, peer)
        if await self._wait_for_write() and await self._record():
            peer = self.better_peer(trio.current_time())
            if peer is not None:
                self.succession.resigned_at = trio.current_time()
                self.term.released = True
                self.term.end(f"resigned, as {peer} reaches more workers")
                return
        log.info("epoch %d: resignation abandoned", self.term.epoch)
        self.term.resigning = False
        self._not_before = trio.current_time() + RETRY_REPORT_INTERVALS * self.report_s

    async def _wait_for_write(self) -> bool:
        """Wait, at most for the lease, until the current write is answered; whether to go on resigning."""
        with trio.move_on_after(self.term.ttl):
            while self.writer.unanswered:
                await trio.sleep(POLL_REPORT_INTERVALS * self.report_s)
            return self.better_peer(trio.current_time()) is not None
        return False

    async def _record(self) -> bool:
        """Record the resignation, so that the next leaders don't resign for a while; whether it succeeded."""
        guards = {EPOCH: self.term.epoch_revision, RESIGNATIONS: self.view.revision_of(RESIGNATIONS)}
        value = self.history.next(self.view.get(RESIGNATIONS), self.member, time.time())
        try:
            await self.client.leader_writes.take(urgent=True)
            outcome = await self.client.commit(guards, {RESIGNATIONS: value}, [], self.term.ttl / 2)
        except StateServiceError as error:
            log.info("epoch %d: the resignation could not be recorded: %s", self.term.epoch, error)
            return False
        return outcome.failed is None
