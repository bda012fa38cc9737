"""The leader's calls to the cloud: the machine list, the machine types, rentals and deletions."""

from __future__ import annotations

import logging

import trio

from ladderfield.connectivity.authority import Decision
from ladderfield.fleet.capacity import Rental
from ladderfield.fleet.cloud import LIST_MOST, Cloud, CloudError, NoCapacityError
from ladderfield.jobs.model import FULL, TYPES, parse_types, types_record
from ladderfield.leader.messages import DeletionAnswered, MachinesListed, Message, RentalAnswered
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

LIST_EVERY = 1.0  # of list_lag_s: a list is no fresher than that
LIST_SHARE = 1 / 3  # of the cloud's calls: what lists may take, as rentals and the types need some too
TYPES_EVERY = 20.0  # of report_s: prices move
RETRY = 1 / 2  # of report_s: the pause after a rental or a deletion that failed


class CloudTasks:
    """Tasks beside one leader's loop; each tells the leader its result."""

    def __init__(
        self,
        settings: Settings,
        term: Term,
        cloud: Cloud,
        client: StateClient,
        view: View,
        inbox: trio.MemorySendChannel[Message],
    ) -> None:
        self.settings, self.term, self.cloud, self.client, self.view = settings, term, cloud, client, view
        self.inbox = inbox
        self.report_s = settings.cluster.workers.report_s

    async def list_machines(self) -> None:
        """Tell the leader for ever which machines the cloud lists."""
        pause = max(LIST_EVERY * self.settings.cluster.cloud.list_lag_s, self.report_s)
        while True:
            calls = 1
            try:
                hosts = await self.cloud.list()
                calls += len(hosts) // LIST_MOST
                await self.inbox.send(MachinesListed(hosts))
            except CloudError as error:
                log.debug("list: %s", error)
            await trio.sleep(max(pause, calls / (LIST_SHARE * self.cloud.budget.rate)))

    async def record_types(self) -> None:
        """Keep the types (and prices) in the state service, so that a cloud outage doesn't stop intake."""
        while True:
            try:
                most = self.settings.cluster.state.value_kb * 1024 * FULL
                kinds = types_record(await self.cloud.types(), most)
                if parse_types(kinds) and kinds != self.view.get(TYPES):
                    await self.client.leader_writes.take()
                    # A copy of this that is carried out late must not bring older types back.
                    guards = {EPOCH: self.term.stamp, TYPES: self.view.stamp(TYPES)}
                    await self.client.commit(guards, {TYPES: kinds}, [], self.report_s)
                await trio.sleep(TYPES_EVERY * self.report_s)
            except (CloudError, StateServiceError) as error:
                log.info("machine types: %s", error)
                await trio.sleep(self.report_s)

    async def rent(self, name: str, rental: Rental) -> None:
        """Rent machines under a name; repeated until the cloud has answered."""
        kind, zone, spot = rental.offer
        count = rental.count
        hosts: list[str] = []
        refused = False
        while True:
            try:
                hosts = await self.cloud.rent(name, kind, zone, spot, count, self._may_rent)
                refused = len(hosts) < count
                log.info("hire %s: %d of %d %s in %s, spot %s: %s", name, len(hosts), count, kind, zone, spot, hosts)
                break
            except NoCapacityError:
                log.info("hire %s: no %s in %s, spot %s", name, kind, zone, spot)
                refused = True
                break
            except CloudError as error:
                log.info("hire %s: %s", name, error)
                await trio.sleep(RETRY * self.report_s)
        await self.inbox.send(RentalAnswered(name, rental.offer, hosts, refused))

    async def delete(self, hosts: list[str]) -> None:
        """Delete machines."""
        try:
            await self.cloud.delete(hosts, self._may_delete)
            confirmed = True
        except CloudError as error:
            log.info("delete %s: %s", hosts, error)
            confirmed = False
            await trio.sleep(RETRY * self.report_s)
        await self.inbox.send(DeletionAnswered(hosts, confirmed))

    def _may_rent(self) -> bool:
        """Asked once more after the wait for the cloud's turn."""
        return self.term.allows(Decision.RENT)

    def _may_delete(self) -> bool:
        """The same for deletions, which could take what a successor has put to work."""
        return self.term.allows(Decision.DELETE)
