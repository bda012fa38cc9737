"""The scheduler: combines the leader's tables with everything that decides on them; no I/O, and times are passed in."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.failure_detector import FailureDetector
from ladderfield.leader.preemption import Preemption
from ladderfield.leader.records import RecordedTables
from ladderfield.leader.scheduling_pass import SchedulingPass
from ladderfield.leader.sessions import Sessions
from ladderfield.leader.tables import SILENCE_REPORT_INTERVALS
from ladderfield.settings import Settings
from ladderfield.workers.machine import Machine
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)


class Scheduler(RecordedTables):
    """The leader's tables with sessions, failure detection, preemption and scheduling passes."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        dependencies: DependencyGraph,
        earlier_terms: Mapping[str, float] | None = None,
        zone_options: ZoneOptions | None = None,
    ) -> None:
        super().__init__(settings, epoch, now, wall, grace_s, dependencies, earlier_terms)
        if zone_options is not None:
            self.zones = ZoneCoordinator(self, zone_options)
        self.sessions = Sessions(self)
        self.detector = FailureDetector(self)
        self.preemption = Preemption(self)
        self.scheduling_pass = SchedulingPass(self, self.preemption)

    def schedule(self, now: float) -> int:
        """Run a scheduling pass and return the number of claims made."""
        self.changed = False
        claimed = self.scheduling_pass.run(now)
        if claimed:
            self.changed = True  # a job whose team went over its guarantee now belongs to a later tier
        return claimed

    def forget(self, host: str, now: float) -> None:
        """Remove a machine whose deletion the cloud has confirmed, and end its claims."""
        self.deleted_hosts[host] = None
        while len(self.deleted_hosts) > self.max_remembered:
            del self.deleted_hosts[next(iter(self.deleted_hosts))]
        machine = self.machines.get(host)
        if machine is None:
            return
        self.queues.withdraw(machine)
        silent = machine.silent_for(now, self.term_from) > SILENCE_REPORT_INTERVALS * self.report_s
        # A silent machine without work is no evidence of a lost zone: silent machines are returned first when there is
        # ample capacity.
        self.zones.on_machine_removed(machine, silent and bool(machine.claims), now)
        for claim in list(machine.claims.values()):
            self.end(claim, False, now)
        del self.machines[host]
        self.changed = True
        log.info("machine %s: deleted", host)

    def sweep(self, now: float) -> list[str]:
        """Apply all timeouts, and return the hosts of machines that must be deleted so that their claims end."""
        self.detector.observe(now)
        self.zones.observe(self.detector.zones, now)
        suspects = [machine for machine in self.machines.values() if not self.detector.is_clearly_healthy(machine, now)]
        for machine in suspects:
            self._check_suspect(machine, now)
        for job in self.jobs.values():
            if job.final_phase is None and job.unqueued:
                self.changed = True
            if job.not_before and job.not_before <= now:
                job.not_before = 0.0
                self.changed = True
        return [machine.host for machine in suspects if machine.deleting]

    def _check_suspect(self, machine: Machine, now: float) -> None:
        """End the claims of a machine whose lease has expired, and decide whether to delete the machine."""
        if machine.claims and now > self.detector.lease_over_at(machine):
            log.warning("machine %s: lease expired, ending %d claims", machine.host, len(machine.claims))
            self.queues.withdraw(machine)
            for claim in list(machine.claims.values()):
                self.end(claim, False, now)
        if machine.queue and not machine.usable(now, SILENCE_REPORT_INTERVALS * self.report_s):
            self.queues.withdraw(machine)
            self.changed = True
        reason = self.detector.reason_to_delete(machine, now)
        if reason and not machine.deleting:
            log.warning("machine %s: to be deleted: %s", machine.host, reason)
            machine.deleting = True
