"""Leader election: a lease in the state service names the leader, and a strictly increasing epoch orders the leaders.

This module decides when to campaign (``campaign.py``), and keeps the lease of a term that was won.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import trio

from ladderfield.campaign import EPOCH, LEADER, Candidate
from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.http import encode
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.term import Term, grace_of, grace_s
from ladderfield.tokens import next_epoch
from ladderfield.view import View
from ladderfield.workers.report import EPOCH_LIMIT

log = logging.getLogger(__name__)

EPOCH_RECORD_BYTES = 64  # the epoch's record without the names of members
TTL_REPORT_INTERVALS = 1.0  # a crash of the leader costs about one round of reports


class Leadership:
    """Campaigns while there is no leader, and renews the lease while this controller is leader."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        reach: Callable[[], ReachStatus] = ReachStatus,
        serves_users: Callable[[], bool] = lambda: True,
        remaining_candidacy_delay_s: Callable[[float], float] = lambda no_leader_since: 0.0,
    ) -> None:
        self.settings, self.client, self.view = settings, client, view
        self.reach, self.serves_users = reach, serves_users
        # How long a candidate still has to wait, from the time since which there has been no leader.
        self.remaining_candidacy_delay_s = remaining_candidacy_delay_s
        self._no_leader_since: float | None = None
        self.ttl = max(0.1, TTL_REPORT_INTERVALS * settings.cluster.workers.report_s)
        self.grace = grace_s(settings)
        self.term: Term | None = None
        self._candidate = Candidate(settings, client, view, self.ttl, self.grace, reach)
        self._peer_known: tuple[int, str] = (0, "")
        members = sorted([settings.member, *(peer.member for peer in settings.peers)])
        self._campaign_order = members.index(settings.member)

    def latest_known(self) -> tuple[int, str]:
        """The highest epoch known here and its leader, which is "" if there is none or it is unknown."""
        if self.term is not None:
            return self.term.epoch, self.settings.member
        recorded = (self.known_epoch(), self._recorded_leader() or "")
        return max(recorded, self._peer_known, key=lambda entry: entry[0])

    def learn_leader(self, epoch: int, leader: str) -> None:
        """Record the leader that another controller names.

        It matters only while the local view lags, because the state service does not serve this controller. It never
        ends a term whose lease certainly holds.
        """
        if epoch <= max(self._peer_known[0], self.known_epoch()) or not leader or epoch >= EPOCH_LIMIT:
            return
        self._peer_known = (epoch, leader)
        if self.term is not None and self.term.authority().is_superseded_by(epoch, trio.current_time()):
            self.term.end(f"{leader} has epoch {epoch}")

    def authority(self) -> Authority:
        """What this controller may decide now, as leader or not."""
        if self.term is not None:
            return self.term.authority()._replace(serves_users=self.serves_users())
        return Authority(condition=self.reach().condition, serves_users=self.serves_users())

    def known_leader(self) -> str | None:
        """The leader, as far as it is known here."""
        return self.latest_known()[1] or None

    def _recorded_leader(self) -> str | None:
        """The leader according to the view."""
        value = self.view.get(LEADER)
        return value.get("member") if isinstance(value, dict) else None

    def known_epoch(self) -> int:
        """The highest epoch in the view."""
        return int((self.view.get(EPOCH) or {}).get("epoch", 0))

    def _earlier_leaders(self) -> dict[str, float]:
        """Earlier leaders that may still answer workers, and the time of day until which they may.

        This only tells a successor where to wait; safety does not depend on clocks.
        """
        record, now = self.view.get(EPOCH) or {}, time.time()
        earlier = {member: until for member, until in record.get("before", {}).items() if until > now}
        if record.get("member"):
            grace = grace_of(self.settings, self.view, record["member"])
            earlier[record["member"]] = round(now + grace, 3)
        earlier.pop(self.settings.member, None)
        # The record must not grow beyond the limit, or the epoch could not be raised: the shortest waits are dropped.
        max_bytes = self.settings.cluster.state.max_record_bytes - EPOCH_RECORD_BYTES
        while len(encode(earlier)) + len(encode(self.settings.member)) > max_bytes:
            del earlier[min(earlier, key=lambda member: (earlier[member], member))]
        return earlier

    async def run(self, terms: trio.MemorySendChannel[Term]) -> None:
        """Campaign and serve, term after term. Each term is sent to ``terms`` once it is won."""
        while True:
            if self.view.synced and self._has_no_leader():
                await self._stand_for_election(terms)
            else:
                with trio.move_on_after(self.ttl):
                    await self.view.wait_for_advance()

    async def _stand_for_election(self, terms: trio.MemorySendChannel[Term]) -> None:
        """Let better candidates go first, then campaign once, and serve the term if it is won."""
        if (wait_s := self._candidacy_delay_s()) > 0:
            await trio.sleep(min(wait_s, self.ttl / 10))
            return
        # Candidates start in the order of their names, so that two rarely pay for the same campaign.
        if self._campaign_order and self._recorded_leader() is None:
            await trio.sleep(self._campaign_order * self.ttl / 40)
            if not self._has_no_leader():
                return
        try:
            term = await self._campaign()
        except StateServiceError as error:
            log.debug("campaign failed: %s", error)
            term = None
        if term is None:
            await trio.sleep(self.ttl / 10)
            return
        await self._serve(term, terms)
        self._no_leader_since = None
        await self._release(term)

    def _has_no_leader(self) -> bool:
        """Whether there is no leader, or the recorded one is an earlier process of this controller, which is dead."""
        no_leader = self._recorded_leader() in (None, self.settings.member)
        if not no_leader:
            self._no_leader_since = None
        return no_leader

    def _candidacy_delay_s(self) -> float:
        """How many seconds to let other candidates go first; bounded, as it runs from when the leader was missed."""
        if self._no_leader_since is None:
            self._no_leader_since = trio.current_time()
        return self.remaining_candidacy_delay_s(self._no_leader_since)

    async def _release(self, term: Term) -> None:
        """Release the lease of a leader that resigned. If the call fails, the lease expires after its time to live."""
        if not term.released:
            return
        try:
            await self.client.release_lease(term.lease_id, self.ttl / 2)
        except StateServiceError as error:
            log.info("epoch %d: could not release the lease: %s", term.epoch, error)

    async def _campaign(self) -> Term | None:
        return await self._candidate.campaign(next_epoch(self.known_epoch()), self._earlier_leaders)

    async def _serve(self, term: Term, terms: trio.MemorySendChannel[Term]) -> None:
        self.term = term
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_epoch)
                nursery.start_soon(terms.send, term)  # the lease is renewed although an earlier term is still ending
                await self._renew(term)
                nursery.cancel_scope.cancel()
        finally:
            term.end("the term ended")
            self.term = None

    async def _follow_epoch(self) -> None:
        """End the term once the view shows a later epoch."""
        while True:
            self._check_for_later_epoch()
            await self.view.wait_for_advance()

    def _check_for_later_epoch(self) -> None:
        epoch = self.known_epoch()
        if self.term is not None and epoch > self.term.epoch:
            self.term.end(f"epoch {epoch} is recorded")

    async def _renew(self, term: Term) -> None:
        while not term.over.is_set():
            with trio.move_on_after(self.ttl / 4):
                await term.over.wait()
                return  # renewing the lease beyond the term would block the next election
            sent_at = trio.current_time()
            try:
                if await self.client.renew_lease(term.lease_id, self.ttl / 2):
                    term.renewed_at = sent_at
                else:
                    term.end("its lease expired")
            except StateServiceError as error:
                log.debug("epoch %d: lease renewal failed: %s", term.epoch, error)
                if not term.allows(Decision.REMAIN_LEADER):
                    term.end("its lease could not be renewed")
