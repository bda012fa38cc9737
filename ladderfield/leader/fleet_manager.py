"""Rents, discovers, returns and deletes the leader's machines."""

from __future__ import annotations

import logging
import math

import trio

from ladderfield.connectivity.authority import Decision
from ladderfield.fleet.capacity import Offer, Rental
from ladderfield.fleet.cloud import MAX_DELETED_PER_CALL, MAX_RENTED_PER_CALL
from ladderfield.fleet.plan import Planner
from ladderfield.leader.cloud_tasks import CloudTasks
from ladderfield.leader.dispatcher import Dispatcher
from ladderfield.leader.messages import DeletionAnswered, MachinesListed, RentalAnswered
from ladderfield.leader.scheduler import Scheduler
from ladderfield.term import Term

log = logging.getLogger(__name__)

PLAN_REPORT_INTERVALS = 1 / 3


class FleetManager:
    """Carries out the planner's decisions and applies the cloud's answers to the scheduler's tables."""

    nursery: trio.Nursery  # where calls to the cloud run

    def __init__(self, term: Term, scheduler: Scheduler, cloud_tasks: CloudTasks, dispatcher: Dispatcher) -> None:
        self.term, self.scheduler, self.cloud_tasks, self.dispatcher = term, scheduler, cloud_tasks, dispatcher
        self.planner = Planner(scheduler)
        self._planned_at = -math.inf
        self._renting: dict[str, Offer] = {}  # rentals in progress, by name
        self._rental_count = 0
        self._deleting: set[str] = set()

    def manage(self, to_delete: list[str], now: float) -> None:
        """Rent and return machines, and delete those returned or in ``to_delete``, as far as this leader may."""
        authority = self.term.authority()
        if (
            authority.allows(Decision.RENT, now)
            and now - self._planned_at >= PLAN_REPORT_INTERVALS * self.scheduler.report_s
        ):
            self._planned_at = now
            try:
                to_delete = to_delete + self._plan(now)
            except Exception:
                # Planning only reads the tables, so a failed plan is skipped rather than ending the term.
                log.exception("epoch %d: fleet planning failed", self.term.epoch)
        due = [host for host in to_delete if host not in self._deleting][:MAX_DELETED_PER_CALL]
        if due and authority.allows(Decision.DELETE, now):
            self._deleting.update(due)
            self.nursery.start_soon(self.cloud_tasks.delete, due)

    def _plan(self, now: float) -> list[str]:
        """Rent and return machines; the result is the hosts to delete."""
        returned = self.planner.machines_to_return(now)
        for machine in returned:
            log.info("machine %s: idle, returning it", machine.host)
            machine.deleting = True
            self.scheduler.queues.withdraw(machine)
        if not self._renting:
            for rental in self.planner.rentals(now):
                self._rent(rental)
        return [machine.host for machine in returned]

    def _rent(self, rental: Rental) -> None:
        """Rent machines, split into several rentals where the cloud's limit for one is exceeded."""
        for first in range(0, rental.count, MAX_RENTED_PER_CALL):
            self._rental_count += 1
            # Unique: no other leader has this epoch, and the epoch was recorded before its first rental.
            name = f"lf-{self.term.epoch}-{self._rental_count}"
            self._renting[name] = rental.offer
            count = min(MAX_RENTED_PER_CALL, rental.count - first)
            self.nursery.start_soon(self.cloud_tasks.rent, name, Rental(rental.offer, count))

    def on_machines_listed(self, message: MachinesListed, now: float) -> None:
        """Apply the cloud's list of machines."""
        for entry in message.hosts:
            is_new = entry.host not in self.scheduler.machines
            machine = self.scheduler.sessions.machine(
                entry.host, entry.endpoint or "", entry.type, entry.zone, entry.spot, now
            )
            if machine is None:
                continue
            machine.listed = entry.phase
            if is_new:
                machine.created_at = now - entry.rented_s
                log.info("machine %s: discovered in the cloud's list, %s", entry.host, entry.phase)
            accepted = self.scheduler.fencing.owns(machine.epoch)
            if machine.endpoint and entry.phase == "running" and not accepted:
                self.dispatcher.request(entry.host)  # so that it learns this leader's token

    def on_rental_answered(self, message: RentalAnswered, now: float) -> None:
        """Add the machines of a finished rental."""
        self._renting.pop(message.name, None)
        if message.refused:
            self.planner.note_refusal(message.offer, now)
            self._planned_at = -math.inf  # plan again at once with other offers
        machine_type, zone, spot = message.offer
        for host in message.hosts:
            self.scheduler.sessions.machine(host, "", machine_type, zone, spot, now)

    def on_deletion_answered(self, message: DeletionAnswered, now: float) -> None:
        """Forget the machines whose deletion was confirmed."""
        self._deleting.difference_update(message.hosts)
        if message.confirmed:
            for host in message.hosts:
                if host in self.scheduler.machines:
                    self.planner.note_deleted(self.scheduler.machines[host])
                self.scheduler.forget(host, now)
                self.dispatcher.forget(host)
