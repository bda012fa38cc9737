"""Who is leader: a lease in the state service names it, and an epoch that only grows tells its orders apart.

Raising the epoch is one conditional write, made together with the lease's key. As every write of a leader is
guarded by the epoch key's version, that one write also moves all claims to the new leader: nothing that an
earlier leader still has on its way to the state service can be applied any more.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import trio

from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.http import encode
from ladderfield.jobs.model import MAX_RECORD_SHARE
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.term import Term, grace_of, grace_s
from ladderfield.view import View
from ladderfield.workers.report import EPOCH_LIMIT

log = logging.getLogger(__name__)

LEADER = "lf/foreman"
EPOCH = "lf/epoch"

RECORD = 64  # bytes of the epoch's record beside names
TTL = 1.0  # of report_s: a crash costs about one round of reports


class Leadership:
    """Campaigns whenever there is no leader, and keeps the lease while this controller is it."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        reach: Callable[[], ReachStatus] = ReachStatus,
        takes_users: Callable[[], bool] = lambda: True,
        stand_back_for: Callable[[float], float] = lambda vacant_since: 0.0,
    ) -> None:
        self.settings, self.client, self.view = settings, client, view
        self.reach, self.takes_users = reach, takes_users
        self.stand_back_for = stand_back_for  # seconds more, for an office that is vacant since then
        self._vacant_since: float | None = None
        self.ttl = max(0.1, TTL * settings.cluster.workers.report_s)
        self.grace = grace_s(settings)
        self.term: Term | None = None
        self._told: tuple[int, str] = (0, "")
        members = sorted([settings.member, *(peer.member for peer in settings.peers)])
        self._turn = members.index(settings.member)

    def latest(self) -> tuple[int, str]:
        """The highest epoch known here, and its leader ("" if there is none, or we can't say)."""
        if self.term is not None:
            return self.term.epoch, self.settings.member
        recorded = (self.known_epoch(), self._holder() or "")
        return max(recorded, self._told, key=lambda known: known[0])

    def told(self, epoch: int, leader: str) -> None:
        """Another controller says who is leader.

        It counts where our own view is behind, that is where the state service does not serve us; and never against a
        lease that is surely ours.
        """
        if epoch <= max(self._told[0], self.known_epoch()) or not leader or epoch >= EPOCH_LIMIT:
            return
        self._told = (epoch, leader)
        if self.term is not None and self.term.authority().yields_to(epoch, trio.current_time()):
            self.term.end(f"{leader} has epoch {epoch}")

    def authority(self) -> Authority:
        """What this controller may decide now, as leader or not."""
        if self.term is not None:
            return self.term.authority()._replace(takes_users=self.takes_users())
        return Authority(condition=self.reach().condition, takes_users=self.takes_users())

    def known_leader(self) -> str | None:
        """Who is leader, as far as is known here."""
        return self.latest()[1] or None

    def _holder(self) -> str | None:
        """Who the view says is leader."""
        value = self.view.get(LEADER)
        return value.get("member") if isinstance(value, dict) else None

    def known_epoch(self) -> int:
        """The highest epoch on record."""
        return int((self.view.get(EPOCH) or {}).get("epoch", 0))

    def _earlier(self) -> dict[str, float]:
        """Earlier leaders that nobody has seen the end of, and until when they may go on answering workers.

        Only a hint where not to be hasty; what is safe does not depend on clocks.
        """
        record, now = self.view.get(EPOCH) or {}, time.time()
        earlier = {member: until for member, until in record.get("before", {}).items() if until > now}
        if record.get("member"):
            grace = grace_of(self.settings, self.view, record["member"])
            earlier[record["member"]] = round(now + grace, 3)
        earlier.pop(self.settings.member, None)
        # A hint must not keep the epoch from being raised: what makes the record too large is left out.
        most = self.settings.cluster.state.value_kb * 1024 * MAX_RECORD_SHARE - RECORD
        while len(encode(earlier)) + len(encode(self.settings.member)) > most:
            del earlier[min(earlier, key=lambda member: (earlier[member], member))]
        return earlier

    async def run(self, terms: trio.MemorySendChannel[Term]) -> None:
        """Campaign and serve, term after term. Each term is announced once it is won."""
        async with self.view.subscribe() as changes:
            while True:
                while self.view.synced and self._vacant():
                    if (wait_s := self._stand_back_s()) > 0:
                        await trio.sleep(min(wait_s, self.ttl / 10))
                        continue
                    # A short turn by name keeps two candidates from paying for the same campaign.
                    if self._turn and self._holder() is None:
                        await trio.sleep(self._turn * self.ttl / 40)
                        if not self._vacant():
                            break
                    try:
                        term = await self._campaign()
                    except StateServiceError as error:
                        log.debug("campaign: %s", error)
                        term = None
                    if term is not None:
                        await self._serve(term, terms, changes)
                        self._vacant_since = None
                        await self._release(term)
                    else:
                        await trio.sleep(self.ttl / 10)
                with trio.move_on_after(self.ttl):
                    await changes.receive()

    def _vacant(self) -> bool:
        """No leader, or the one on record is an earlier process of this very controller, which is dead."""
        vacant = self._holder() in (None, self.settings.member)
        if not vacant:
            self._vacant_since = None
        return vacant

    def _stand_back_s(self) -> float:
        """How many seconds more to let others go first; bounded from when the office was seen vacant."""
        if self._vacant_since is None:
            self._vacant_since = trio.current_time()
        return self.stand_back_for(self._vacant_since)

    async def _release(self, term: Term) -> None:
        """Give the lease of a leader that resigned back. Without an answer it ends by itself."""
        if not term.released:
            return
        try:
            await self.client.release(term.hold, self.ttl / 2)
        except StateServiceError as error:
            log.info("epoch %d: the lease was not released: %s", term.epoch, error)

    async def _campaign(self) -> Term | None:
        # A copy of this that is carried out late ends no newer term.
        guards = {LEADER: self.view.stamp(LEADER), EPOCH: self.view.stamp(EPOCH)}
        epoch = self.known_epoch() + 1
        timeout = self.ttl / 2
        asked = trio.current_time()
        hold = await self.client.grant(self.ttl, timeout)
        sent = trio.current_time()
        before = self._earlier()
        record = {"epoch": epoch, "member": self.settings.member, "before": before}
        puts = {LEADER: {"member": self.settings.member}, EPOCH: record}
        outcome = await self.client.commit(guards, puts, [], timeout, hold, LEADER)
        if outcome.failed is not None:
            with trio.move_on_after(timeout):
                await self.view.reach(outcome.ledger)
            return None
        if not Authority(office_until=asked + self.ttl).allows(Decision.TAKE_OFFICE, trio.current_time()):
            # We stood still meanwhile. The lease may be over, others may have heard from us that we are not leader.
            return None
        log.info("epoch %d: leader is %s", epoch, self.settings.member)
        return Term(epoch, outcome.ledger, hold, sent, self.ttl, self.grace, sent, before, reach=self.reach)

    async def _serve(
        self, term: Term, terms: trio.MemorySendChannel[Term], changes: trio.MemoryReceiveChannel[list]
    ) -> None:
        self.term = term
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._discard, changes)
                await terms.send(term)
                await self._renew(term)
                nursery.cancel_scope.cancel()
        finally:
            term.end("the term ended")
            self.term = None

    async def _discard(self, changes: trio.MemoryReceiveChannel[list]) -> None:
        """The view waits for its readers: drain it while nothing in it concerns a campaign."""
        async for _ in changes:
            self._higher()

    def _higher(self) -> None:
        epoch = self.known_epoch()
        if self.term is not None and epoch > self.term.epoch:
            self.term.end(f"epoch {epoch} is on record")

    async def _renew(self, term: Term) -> None:
        while not term.over.is_set():
            with trio.move_on_after(self.ttl / 4):
                await term.over.wait()
                return  # a lease that is kept alive beyond its term would keep others out
            sent = trio.current_time()
            try:
                if await self.client.touch(term.hold, self.ttl / 2):
                    term.renewed_at = sent
                else:
                    term.end("its lease ended")
            except StateServiceError as error:
                log.debug("epoch %d: renewal: %s", term.epoch, error)
                if not term.allows(Decision.HOLD_OFFICE):
                    term.end("its lease could not be renewed")
