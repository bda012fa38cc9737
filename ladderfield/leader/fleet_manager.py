"""The machines that a leader rents, finds, returns and deletes."""

from __future__ import annotations

import logging
import math

import trio

from ladderfield.connectivity.authority import Decision
from ladderfield.fleet.capacity import Offer, Rental
from ladderfield.fleet.cloud import DELETE_MOST, RENT_MOST
from ladderfield.fleet.plan import Planner
from ladderfield.leader.cloud_tasks import CloudTasks
from ladderfield.leader.dispatcher import Dispatcher
from ladderfield.leader.messages import DeletionAnswered, MachinesListed, RentalAnswered
from ladderfield.leader.scheduler import Scheduler
from ladderfield.term import Term

log = logging.getLogger(__name__)

PLAN_EVERY = 1 / 3  # of report_s


class FleetManager:
    """Carries the planner's decisions out, and takes the cloud's answers in, on the scheduler's tables."""

    nursery: trio.Nursery  # where calls to the cloud run

    def __init__(self, term: Term, scheduler: Scheduler, cloud_tasks: CloudTasks, dispatcher: Dispatcher) -> None:
        self.term, self.scheduler, self.cloud_tasks, self.dispatcher = term, scheduler, cloud_tasks, dispatcher
        self.planner = Planner(scheduler)
        self._planned_at = -math.inf
        self._renting: dict[str, Offer] = {}  # hires under way
        self._hires = 0
        self._deleting: set[str] = set()

    def manage(self, doomed: list[str], now: float) -> None:
        """Rent, return, and delete what is doomed or returned, as far as we may."""
        authority = self.term.authority()
        if authority.allows(Decision.RENT, now) and now - self._planned_at >= PLAN_EVERY * self.scheduler.report_s:
            self._planned_at = now
            try:
                doomed = doomed + self._plan(now)
            except Exception:
                # A plan only reads the tables. Running without one for a while beats ending a leader over it.
                log.exception("epoch %d: no plan", self.term.epoch)
        due = [host for host in doomed if host not in self._deleting][:DELETE_MOST]
        if due and authority.allows(Decision.DELETE, now):
            self._deleting.update(due)
            self.nursery.start_soon(self.cloud_tasks.delete, due)

    def _plan(self, now: float) -> list[str]:
        """Rent and return; answers what is to be deleted."""
        returned = self.planner.returns(now)
        for machine in returned:
            log.info("machine %s: idle, returned", machine.host)
            machine.deleting = True
            self.scheduler.queues.withdraw(machine)
        if not self._renting:
            for rental in self.planner.rentals(now):
                self._rent(rental)
        return [machine.host for machine in returned]

    def _rent(self, rental: Rental) -> None:
        """Ask for machines, in as many hires as the cloud's bound on one makes it."""
        for first in range(0, rental.count, RENT_MOST):
            self._hires += 1
            # No other leader has this epoch, so no other hire can ever have this name; the epoch's record came first.
            name = f"lf-{self.term.epoch}-{self._hires}"
            self._renting[name] = rental.offer
            count = min(RENT_MOST, rental.count - first)
            self.nursery.start_soon(self.cloud_tasks.rent, name, Rental(rental.offer, count))

    def on_machines_listed(self, message: MachinesListed, now: float) -> None:
        """Take the cloud's list of machines in."""
        for one in message.hosts:
            fresh = one.host not in self.scheduler.machines
            machine = self.scheduler.sessions.machine(one.host, one.endpoint or "", one.type, one.zone, one.spot, now)
            if machine is None:
                continue
            machine.listed = one.phase
            if fresh:
                machine.born_at = now - one.held_s
                log.info("machine %s: found in the list, %s", one.host, one.phase)
            if machine.endpoint and one.phase == "running" and machine.epoch != self.term.epoch:
                self.dispatcher.request(one.host)  # raise the epoch there

    def on_rental_answered(self, message: RentalAnswered, now: float) -> None:
        """Take a rental's end in."""
        self._renting.pop(message.name, None)
        if message.refused:
            self.planner.refuse(message.offer, now)
            self._planned_at = -math.inf  # look for something else at once
        kind, zone, spot = message.offer
        for host in message.hosts:
            self.scheduler.sessions.machine(host, "", kind, zone, spot, now)

    def on_deletion_answered(self, message: DeletionAnswered, now: float) -> None:
        """Forget the machines whose deletion is confirmed."""
        self._deleting.difference_update(message.hosts)
        if message.confirmed:
            for host in message.hosts:
                if host in self.scheduler.machines:
                    self.planner.freed(self.scheduler.machines[host])
                self.scheduler.forget(host, now)
                self.dispatcher.forget(host)
