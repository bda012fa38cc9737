"""Decides which machines are lost and must be deleted.

A missed failure costs time; a false positive kills tasks that run well.
"""

from __future__ import annotations

import logging
import math

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.connectivity.authority import Decision
from ladderfield.connectivity.reachability import WINDOW_REPORT_INTERVALS
from ladderfield.leader.tables import SILENCE_REPORT_INTERVALS, LeaderTables
from ladderfield.queues.work import task_name
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.report import ANSWER_TIMEOUT_S, NEXT_CONTROLLER_DELAY_S
from ladderfield.zones.evidence import ZoneCounts

log = logging.getLogger(__name__)

MAX_GAP_REPORT_INTERVALS = 1.25  # the longest time between two reports that the protocol allows
LOST_AFTER_REPORT_INTERVALS = 3.0  # silence after which a machine is deleted, so that its claims end
LOST_TOGETHER_LEASES = 0.8  # the same where half of a zone's machines went silent: a partition that may heal
NEWLY_RELAYED_LEASES = 2.0  # how long a machine whose reports start to be relayed is evidence of a partitioned zone
CANCELLED_TASK_DELETION_SHARE = 0.5  # of cancel_s: then a machine that still holds a cancelled task is deleted
BOOT_TIMEOUT_FACTOR = 3.0  # of the machine type's boot time: then a machine that never reported is deleted


class FailureDetector:
    """Detects lost, unreachable and faulty machines, and zones that are cut off."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables
        self._mostly_silent = False
        # If True, the fault is likely on this controller's side, and replacing machines would not help.
        self.majority_cannot_report = False
        self.zones: dict[str, ZoneCounts] = {}
        self.cut_zones: set[str] = set()
        # The longest time until a worker's report arrives through another controller if the worker can't reach the
        # leader: it waits for the leader's answer to time out, then tries the next controllers.
        self._reroute_s = MAX_GAP_REPORT_INTERVALS * tables.report_s + ANSWER_TIMEOUT_S + 2 * NEXT_CONTROLLER_DELAY_S
        self._lost_together_s = LOST_TOGETHER_LEASES * tables.lease_s

    def observe(self, now: float) -> None:
        """Update the evidence of every zone and determine which zones are cut off.

        A zone is cut off if more than one machine, and at least half of the zone's machines, are silent, unreachable,
        or have lately started to report through another controller. The silent ones are then likely to be trying
        other controllers too.
        """
        tables, known, unable_to_report = self.tables, dict[str, ZoneCounts](), 0
        for machine in tables.machines.values():
            # A machine may be unable to reach any controller while it receives our orders. Its lease expires, and every
            # task started there would end with it, so it gets no work.
            last_report_at = (
                machine.first_report_at if machine.unsolicited_report_at is None else machine.unsolicited_report_at
            )
            machine.cannot_report = last_report_at is not None and now - last_report_at > self._reroute_s
            unable_to_report += machine.cannot_report
            if machine.last_report_at is not None or machine.claims:
                self._count(known.setdefault(machine.zone, ZoneCounts()), machine, now)
        self.majority_cannot_report = 2 * unable_to_report > len(tables.machines)
        all_counts = known.values()
        self._mostly_silent = 2 * sum(counts.impaired for counts in all_counts) > sum(
            counts.machines for counts in all_counts
        )
        self.cut_zones = {
            zone for zone, counts in known.items() if counts.impaired > 1 and counts.impaired * 2 >= counts.machines
        }
        self.zones = known

    def _count(self, zone: ZoneCounts, machine: Machine, now: float) -> None:
        """Add a machine to the counts of its zone."""
        tables = self.tables
        zone.machines += 1
        silent = machine.silent_for(now, tables.term_from) > SILENCE_REPORT_INTERVALS * tables.report_s
        newly_relayed = machine.relayed and now - machine.relayed_since < NEWLY_RELAYED_LEASES * tables.lease_s
        zone.impaired += silent or newly_relayed or machine.unreachable_since is not None
        if silent:
            zone.silent += 1
            zone.lease_expired += now > self.lease_over_at(machine)
        direct = not machine.relayed and machine.unsolicited_report_at is not None
        zone.reporting_directly += (
            direct and now - (machine.unsolicited_report_at or 0.0) <= WINDOW_REPORT_INTERVALS * tables.report_s
        )

    def lease_over_at(self, machine: Machine) -> float:
        """The time by which the machine's lease has certainly expired."""
        tables = self.tables
        unheard = tables.authority().verdict(Decision.END_UNACKNOWLEDGED_CLAIM)
        accepted = tables.fencing.owns(machine.epoch)
        return machine.lease_over_at(accepted, tables.term_from, unheard.since, tables.lease_s)

    def _silence_limit_s(self, machine: Machine, now: float) -> float:
        """How many seconds the machine may be silent before it is lost."""
        tables, cut, term_from = self.tables, machine.zone in self.cut_zones, self.tables.term_from
        unheard = tables.authority().verdict(Decision.END_UNACKNOWLEDGED_CLAIM)
        sole_leader = unheard.holds(now)
        # After a takeover a machine may still be trying controllers that don't answer. A machine whose reports are
        # relayed is redirected to the leader from time to time and waits for a timeout before it goes back.
        searching = machine.epoch_confirmed_at is None
        silence_limit_s = LOST_AFTER_REPORT_INTERVALS * tables.report_s
        if cut or (searching and not sole_leader):
            silence_limit_s = max(silence_limit_s, self._lost_together_s)
        elif searching or machine.relayed:
            silence_limit_s = max(silence_limit_s, self._reroute_s)
        if cut and not machine.replicas:
            # Keeps the machines of a zone whose partition heals: their tasks are restarted elsewhere once the lease has
            # expired, and waiting for the machine costs no more than booting another.
            silence_limit_s = max(silence_limit_s, tables.lease_s * CLOCK_DRIFT_FACTOR + machine.kind.boot_s)
        if machine.first_report_at is None:
            # An earlier leader may still be answering the machine, whose tasks would then run well: deleting it would
            # kill them.
            until = unheard.since if self._mostly_silent else tables.earlier.zones.get(machine.zone, 0.0)
            until = min(until, unheard.since)
            if until > term_from:
                few_missing = sole_leader and not cut and not self._mostly_silent
                silence_limit_s = until - term_from + (self._reroute_s if few_missing else self._lost_together_s)
        return silence_limit_s

    def cut_off(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been silent for longer than a lease in a zone that is cut off.

        It may come back, but its capacity can't be counted on.
        """
        silent = machine.silent_for(now, self.tables.term_from)
        return machine.zone in self.cut_zones and silent > self.tables.lease_s * CLOCK_DRIFT_FACTOR

    def is_clearly_healthy(self, machine: Machine, now: float) -> bool:
        """A cheap check that spares most of the fleet the full one: the machine needs no decision in this sweep."""
        return (
            machine.usable(now, SILENCE_REPORT_INTERVALS * self.tables.report_s)
            and machine.listed != "failed"
            and not (machine.claims and self.tables.cancelled_at)
        )

    def must_let_lease_end(self, host: str, now: float) -> bool:
        """Whether the machine's lease must expire because it holds a cancelled task.

        True once another answer could keep the task alive beyond cancel_s after its cancellation was confirmed.
        Prevents the fault ``ran_cancelled`` where the machine can't be deleted because the cloud is down or the leader
        may no longer delete machines.
        """
        machine = self.tables.machines.get(host)
        if machine is None or not self.tables.cancelled_at:
            return False
        times = (self.tables.cancelled_at.get(claim.job.uid, math.inf) for claim in machine.claims.values())
        return now > self.tables.authority().answers_cancelled_until(min(times, default=math.inf))

    def reason_to_delete(self, machine: Machine, now: float) -> str | None:
        """Why the machine has to be deleted; None if it stays."""
        tables = self.tables
        if machine.listed == "failed":
            return "the cloud lists it as failed"
        silent, silence_limit_s = machine.silent_for(now, tables.term_from), self._silence_limit_s(machine, now)
        booted = machine.last_report_at is not None or machine.claims or machine.kind is UNKNOWN
        silence_counts = tables.authority().allows(Decision.DECLARE_MACHINE_LOST, now)
        if booted and silent > silence_limit_s and silence_counts:
            return f"no valid report or answer for {silent:.1f} s"
        if machine.unreachable_since is not None:
            # Replicas run on until the machine's lease expires; other work is better restarted elsewhere soon.
            replica_grace_s = self._lost_together_s if machine.replicas else 0.0
            if now - machine.unreachable_since > max(silence_limit_s, replica_grace_s):
                return "it does not receive our answers"
        # Idle machines that were up before this term get time to find the new leader.
        takeover_settled = now - tables.term_from > self._lost_together_s
        if not booted and takeover_settled and now - machine.created_at > BOOT_TIMEOUT_FACTOR * machine.kind.boot_s:
            return "it did not report within the boot timeout"
        if machine.faulty and not any(claim.job.spec.service for claim in machine.claims.values()):
            return "it is faulty"
        for claim in machine.claims.values():
            since = tables.cancelled_at.get(claim.job.uid)
            if since is not None and now - since > CANCELLED_TASK_DELETION_SHARE * tables.cancel_s:
                return f"it still holds {task_name(claim.task)}, which was cancelled"
        return None
