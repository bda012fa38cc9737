"""One campaign: a candidate raises the epoch and takes the leader's key, attached to a lease, in one conditional write.

As every write of a leader is guarded by the revision of the epoch key, that write also fences off earlier leaders:
nothing that one of them still has on its way to the state service can be applied any more.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.settings import Settings
from ladderfield.state import Outcome, StateClient, UnansweredError
from ladderfield.term import Term
from ladderfield.tokens import first_token
from ladderfield.view import View

log = logging.getLogger(__name__)

LEADER = "lf/foreman"
EPOCH = "lf/epoch"

WRITE_TIMEOUT_SHARE = 1 / 2  # of the lease: time limit of each write of a campaign
READ_TIMEOUT_SHARE = 1 / 4  # of the lease: time limit of each read after a write without an answer


class Candidate:
    """Campaigns on behalf of one controller."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        ttl_s: float,
        grace_s: float,
        reach: Callable[[], ReachStatus],
    ) -> None:
        self.member, self.client, self.view, self.reach = settings.member, client, view, reach
        self.ttl_s, self.grace_s = ttl_s, grace_s

    async def campaign(self, epoch: int, earlier_leaders: Callable[[], dict[str, float]]) -> Term | None:
        """Campaign once for an epoch; the term if it is won, None if not, StateServiceError if it can't be known.

        ``earlier_leaders`` is asked once the lease is granted: who may still answer workers, until what time of day.
        """
        # With these guards a late copy of the request can't end a newer term.
        guards = {LEADER: self.view.revision_of(LEADER), EPOCH: self.view.revision_of(EPOCH)}
        requested_at = trio.current_time()
        lease_id = await self.client.grant_lease(self.ttl_s, self.ttl_s * WRITE_TIMEOUT_SHARE)
        sent_at, earlier = trio.current_time(), earlier_leaders()
        revision = await self._write(epoch, guards, lease_id, earlier)
        if revision is None:
            return None
        if not Authority(candidacy_until=requested_at + self.ttl_s).allows(Decision.BECOME_LEADER, trio.current_time()):
            # This process was suspended meanwhile. The lease may have expired, and others may have been told that this
            # controller is not leader.
            return None
        log.info("epoch %d: leader is %s, tokens from %d", epoch, self.member, first_token(epoch))
        return Term(
            epoch,
            revision,
            lease_id,
            renewed_at=requested_at,  # the service may have granted it long before its answer arrived
            ttl=self.ttl_s,
            grace=self.grace_s,
            known_at=sent_at,
            earlier_leaders=earlier,
            reach=self.reach,
        )

    async def _write(
        self, epoch: int, guards: dict[str, int], lease_id: int, earlier_leaders: dict[str, float]
    ) -> int | None:
        """Write the records of the new term; the revision at which they were written, or None if they were not."""
        record = {"epoch": epoch, "member": self.member, "before": earlier_leaders}
        puts = {LEADER: {"member": self.member}, EPOCH: record}
        try:
            outcome = await self.client.commit(guards, puts, [], self.ttl_s * WRITE_TIMEOUT_SHARE, lease_id, LEADER)
        except UnansweredError as error:
            log.info("campaign for epoch %d unanswered: %s", epoch, error)
            return await self._read_back(lease_id)
        if outcome.failed is None:
            return outcome.revision
        await self._wait_for_changes(epoch, outcome)
        return None

    async def _wait_for_changes(self, epoch: int, outcome: Outcome) -> None:
        """Wait for the changes on which a campaign's guards have failed, or the next campaign would be lost too."""
        log.info(
            "campaign for epoch %d lost at revision %d: changed since revision %d of the view: %s",
            epoch,
            outcome.revision,
            self.view.revision,
            outcome.failed,
        )
        with trio.move_on_after(self.ttl_s * WRITE_TIMEOUT_SHARE):
            await self.view.wait_for_revision(outcome.revision)

    async def _read_back(self, lease_id: int) -> int | None:
        """Find out whether an unanswered campaign was carried out; the revision at which it was, or None.

        Only this campaign attaches the leader's key to its lease, and a later one would have replaced that key. So
        while the key has this lease, the epoch's record is this campaign's too, of the same revision.
        """
        recorded = await self.client.key_status(LEADER, self.ttl_s * READ_TIMEOUT_SHARE)
        if recorded is not None and recorded.lease_id == lease_id:
            return recorded.revision
        # It may have been carried out and replaced, or be carried out yet: the next campaign needs a view that has it.
        await self.view.fresh(self.ttl_s * READ_TIMEOUT_SHARE)
        return None
