"""Every decision of a leader on its tables, put together; no I/O, no clock of its own."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.failure_detector import FailureDetector
from ladderfield.leader.preemption import Preemption
from ladderfield.leader.records import RecordedTables
from ladderfield.leader.scheduling_pass import SchedulingPass
from ladderfield.leader.sessions import Sessions
from ladderfield.leader.tables import SILENT
from ladderfield.settings import Settings
from ladderfield.workers.machine import Machine
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)


class Scheduler(RecordedTables):
    """The leader's tables and what decides on them."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        dependencies: DependencyGraph,
        before: Mapping[str, float] | None = None,
        zone_options: ZoneOptions | None = None,
    ) -> None:
        super().__init__(settings, epoch, now, wall, grace_s, dependencies, before)
        if zone_options is not None:
            self.zones = ZoneCoordinator(self, zone_options)
        self.sessions = Sessions(self)
        self.detector = FailureDetector(self)
        self.preemption = Preemption(self)
        self.passes = SchedulingPass(self, self.preemption)

    def schedule(self, now: float) -> int:
        """Deal, then let free machines pull, in the order of guarantee and rank; the number of claims made."""
        self.changed = False
        made = self.passes.run(now)
        if made:
            self.changed = True  # a job that went over its guarantee with this pass is in a later tier now
        return made

    def forget(self, host: str, now: float) -> None:
        """The machine is gone for good: its deletion was answered."""
        self.gone[host] = None
        while len(self.gone) > self.most_kept:
            del self.gone[next(iter(self.gone))]
        machine = self.machines.get(host)
        if machine is None:
            return
        self.queues.withdraw(machine)
        silent = machine.silent_for(now, self.term_from) > SILENT * self.report_s
        # One that had nothing to do was no loss: silent machines are returned first where there is ample room.
        self.zones.on_machine_removed(machine, silent and bool(machine.claims), now)
        for claim in list(machine.claims.values()):
            self.end(claim, False, now)
        del self.machines[host]
        self.changed = True
        log.info("machine %s: deleted", host)

    def sweep(self, now: float) -> list[str]:
        """What time alone decides. Answers the machines that have to be deleted to free what they hold."""
        self.detector.observe(now)
        self.zones.observe(self.detector.zones, now)
        suspect = [machine for machine in self.machines.values() if not self.detector.needs_no_decision(machine, now)]
        for machine in suspect:
            self._check_suspect(machine, now)
        for job in self.jobs.values():
            if job.final is None and job.undealt:
                self.changed = True
            if job.not_before and job.not_before <= now:
                job.not_before = 0.0
                self.changed = True
        return [machine.host for machine in suspect if machine.deleting]

    def _check_suspect(self, machine: Machine, now: float) -> None:
        """End what a machine's lease no longer covers, and give the machine up where that is due."""
        if machine.claims and now > self.detector.lease_over_at(machine):
            log.warning("machine %s: its lease is over, %d claims end", machine.host, len(machine.claims))
            self.queues.withdraw(machine)
            for claim in list(machine.claims.values()):
                self.end(claim, False, now)
        if machine.queue and not machine.usable(now, SILENT * self.report_s):
            self.queues.withdraw(machine)
            self.changed = True
        why = self.detector.reason_to_delete(machine, now)
        if why and not machine.deleting:
            log.warning("machine %s: to be deleted: %s", machine.host, why)
            machine.deleting = True
