"""The leader's calls to the cloud API: machine list, machine types, rentals and deletions."""

from __future__ import annotations

import logging

import trio

from ladderfield.connectivity.authority import Decision
from ladderfield.fleet.capacity import Rental
from ladderfield.fleet.catalog import listed_catalog
from ladderfield.fleet.catalog_writer import CatalogWriter
from ladderfield.fleet.cloud import MAX_LISTED_PER_CALL, Cloud, CloudError, NoCapacityError
from ladderfield.leader.messages import DeletionAnswered, MachinesListed, Message, RentalAnswered
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

LIST_LAG_FACTOR = 1.0  # of list_lag_s: pause between lists, which are never more recent than that
LIST_CALL_SHARE = 1 / 3  # of the cloud API's rate limit: rentals and machine types need calls too
TYPES_REPORT_INTERVALS = 20.0  # pause between reads of the machine types, whose prices change
RETRY_REPORT_INTERVALS = 1 / 2  # pause after a failed rental or deletion


class CloudTasks:
    """Background tasks of one leader; each sends its result to the leader's inbox."""

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
        """Send the cloud's machine list to the leader periodically until cancelled."""
        min_pause_s = max(LIST_LAG_FACTOR * self.settings.cluster.cloud.list_lag_s, self.report_s)
        while True:
            calls = 1
            try:
                hosts = await self.cloud.list()
                calls += len(hosts) // MAX_LISTED_PER_CALL
                await self.inbox.send(MachinesListed(hosts))
            except CloudError as error:
                log.debug("machine list failed: %s", error)
            await trio.sleep(max(min_pause_s, calls / (LIST_CALL_SHARE * self.cloud.budget.rate)))

    async def record_types(self) -> None:
        """Keep machine types and prices in the state service, so that jobs are accepted during a cloud outage."""
        guards = {EPOCH: self.term.epoch_revision}
        writer = CatalogWriter(
            self.settings, self.client, self.view, self.client.leader_writes, self.client.leader_calls, guards
        )
        while True:
            recorded = False
            try:
                listed = listed_catalog(await self.cloud.types())
                recorded = bool(listed.types) and await writer.record(listed)
            except CloudError as error:
                log.info("machine types were not updated: %s", error)
            await trio.sleep(TYPES_REPORT_INTERVALS * self.report_s if recorded else self.report_s)

    async def rent(self, name: str, rental: Rental) -> None:
        """Rent machines under a rental name, retrying until the cloud answers."""
        machine_type, zone, spot = rental.offer
        count = rental.count
        hosts: list[str] = []
        refused = False
        while True:
            try:
                hosts = await self.cloud.rent(name, machine_type, zone, spot, count, self._may_rent)
                refused = len(hosts) < count
                log.info(
                    "rental %s: got %d of %d %s in %s, spot %s: %s",
                    name,
                    len(hosts),
                    count,
                    machine_type,
                    zone,
                    spot,
                    hosts,
                )
                break
            except NoCapacityError:
                log.info("rental %s: no capacity for %s in %s, spot %s", name, machine_type, zone, spot)
                refused = True
                break
            except CloudError as error:
                log.info("rental %s failed, retrying: %s", name, error)
                await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)
        await self.inbox.send(RentalAnswered(name, rental.offer, hosts, refused))

    async def delete(self, hosts: list[str]) -> None:
        """Delete machines, once; the leader requests it again if it was not confirmed."""
        try:
            await self.cloud.delete(hosts, self._may_delete)
            confirmed = True
        except CloudError as error:
            log.info("deletion of %s failed: %s", hosts, error)
            confirmed = False
            await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)
        await self.inbox.send(DeletionAnswered(hosts, confirmed))

    def _may_rent(self) -> bool:
        """Whether the leader may still rent, checked again after waiting for the cloud API's rate limit."""
        return self.term.allows(Decision.RENT)

    def _may_delete(self) -> bool:
        """The same for deletions, which could hit machines that a successor has already assigned work to."""
        return self.term.allows(Decision.DELETE)
