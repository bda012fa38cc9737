"""Which machines are given up, and why: a wrong no costs time, a wrong yes kills work that runs well."""

from __future__ import annotations

import logging
import math

from ladderfield.clocks import CLOCKS
from ladderfield.connectivity.authority import Decision
from ladderfield.connectivity.reachability import WINDOW
from ladderfield.leader.tables import SILENT, LeaderTables
from ladderfield.queues.work import task_name
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.report import ANSWER_S, NEXT_S
from ladderfield.zones.evidence import ZoneCounts

log = logging.getLogger(__name__)

LATEST = 1.25  # of report_s, the protocol: the longest between two reports
LOST = 3.0  # of report_s: given up, and deleted so that its claims end
LOST_TOGETHER = 0.8  # of lease_s: the same when half of a zone's machines went silent, as in a cut that may heal
DETOURS = 2.0  # of lease_s: how long machines that begin to be relayed show that their zone is cut off
CANCEL_BY = 0.5  # of cancel_s: then a machine still holding a cancelled task is deleted
BOOT = 3.0  # of a type's boot time: then a machine that never reported is given up


class FailureDetector:
    """Judges machines on the leader's tables."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables
        self._mostly_silent = False
        self.most_cannot_report = False  # then the fault is likely ours, and other machines would be no better off
        self.zones: dict[str, ZoneCounts] = {}
        self.cut: set[str] = set()  # zones
        # The longest way round a leader that a worker can't reach: it waits for an answer and tries the next.
        self._way = LATEST * tables.report_s + ANSWER_S + 2 * NEXT_S
        self._together = LOST_TOGETHER * tables.lease_s

    def observe(self, now: float) -> None:
        """See which zones are cut off.

        At least half of the machines there, and more than one, are silent, or have lately begun to come by way of
        another controller. Then those that are silent are likely on such a way, or would be if there were one.
        """
        tables, known, mute = self.tables, dict[str, ZoneCounts](), 0
        for machine in tables.machines.values():
            # Guards work against machines that can't reach any controller while our commands reach them: their lease
            # runs out, and with it ends all that would be begun there.
            came_at = machine.up_at if machine.reported_at is None else machine.reported_at
            machine.cannot_report = came_at is not None and now - came_at > self._way
            mute += machine.cannot_report
            if machine.heard_at is not None or machine.claims:
                self._count(known.setdefault(machine.zone, ZoneCounts()), machine, now)
        self.most_cannot_report = 2 * mute > len(tables.machines)
        counts = known.values()
        self._mostly_silent = 2 * sum(one.impaired for one in counts) > sum(one.machines for one in counts)
        self.cut = {zone for zone, one in known.items() if one.impaired > 1 and one.impaired * 2 >= one.machines}
        self.zones = known

    def _count(self, zone: ZoneCounts, machine: Machine, now: float) -> None:
        """Count a machine for its zone."""
        tables = self.tables
        zone.machines += 1
        silent = machine.silent_for(now, tables.term_from) > SILENT * tables.report_s
        detour = machine.relayed and now - machine.detour_at < DETOURS * tables.lease_s
        zone.impaired += silent or detour or machine.not_hearing_since is not None
        if silent:
            zone.silent += 1
            zone.lease_expired += now > self.lease_over_at(machine)
        reporting_directly = not machine.relayed and machine.reported_at is not None
        zone.reporting_directly += reporting_directly and now - (machine.reported_at or 0.0) <= WINDOW * tables.report_s

    def lease_over_at(self, machine: Machine) -> float:
        """When the machine's lease is surely over."""
        tables = self.tables
        unheard = tables.authority().verdict(Decision.END_UNHEARD_CLAIM)
        return machine.lease_over_at(tables.epoch, tables.term_from, unheard.since, tables.lease_s)

    def _patience(self, machine: Machine, now: float) -> float:
        """How long the machine may be silent."""
        tables, cut, term_from = self.tables, machine.zone in self.cut, self.tables.term_from
        unheard = tables.authority().verdict(Decision.END_UNHEARD_CLAIM)
        alone = unheard.holds(now)
        # After a takeover a machine may still be on its way between controllers, some of which don't answer; and one
        # that is relayed is sent to us now and then, and waits there before it goes the other way.
        finding = machine.fresh_at is None
        patience = LOST * tables.report_s
        if cut or (finding and not alone):
            patience = max(patience, self._together)
        elif finding or machine.relayed:
            patience = max(patience, self._way)
        if cut and not machine.replicas:
            # Guards against giving a whole zone up for a cut that heals: its tasks begin anew elsewhere once their
            # lease is over, and to wait for the machine costs no more than to boot another.
            patience = max(patience, tables.lease_s * CLOCKS + machine.kind.boot_s)
        if machine.up_at is None:
            # A leader before us may still be answering it; to delete what runs well would be our doing.
            until = unheard.since if self._mostly_silent else tables.earlier.zones.get(machine.zone, 0.0)
            until = min(until, unheard.since)
            if until > term_from:
                few = alone and not cut and not self._mostly_silent
                patience = until - term_from + (self._way if few else self._together)
        return patience

    def away(self, machine: Machine, now: float) -> bool:
        """Whether it has been silent for longer than a lease in a zone that is cut off.

        It may come back, but nothing of it can be counted on.
        """
        silent = machine.silent_for(now, self.tables.term_from)
        return machine.zone in self.cut and silent > self.tables.lease_s * CLOCKS

    def needs_no_decision(self, machine: Machine, now: float) -> bool:
        """Whether a look at it tells already that nothing is to be decided: of hundreds nearly all are."""
        return (
            machine.usable(now, SILENT * self.tables.report_s)
            and machine.listed != "failed"
            and not (machine.claims and self.tables.cancelled_at)
        )

    def must_let_lease_end(self, host: str, now: float) -> bool:
        """Whether the machine's lease is to end because of a cancelled task.

        Its cancellation was confirmed so long ago that one more answer would keep it beyond cancel_s. Guards
        ``ran_cancelled`` where the machine can't be deleted: the cloud is down, or the right to delete is gone.
        """
        machine = self.tables.machines.get(host)
        if machine is None or not self.tables.cancelled_at:
            return False
        times = (self.tables.cancelled_at.get(claim.job.uid, math.inf) for claim in machine.claims.values())
        return now > self.tables.authority().answers_cancelled_until(min(times, default=math.inf))

    def reason_to_delete(self, machine: Machine, now: float) -> str | None:
        """Why the machine has to go, or None."""
        tables = self.tables
        if machine.listed == "failed":
            return "it failed"
        silent, patience = machine.silent_for(now, tables.term_from), self._patience(machine, now)
        booted = machine.heard_at is not None or machine.claims or machine.kind is UNKNOWN
        silence_counts = tables.authority().allows(Decision.GIVE_UP_MACHINE, now)
        if booted and silent > patience and silence_counts:
            return f"no sign that it is well for {silent:.1f} s"
        if machine.not_hearing_since is not None:
            # Its replicas go on until its lease is over; all else is better off elsewhere at once.
            lasting = self._together if machine.replicas else 0.0
            if now - machine.not_hearing_since > max(patience, lasting):
                return "it does not hear us"
        # A successor finds idle machines that have been up for long: they get the time to come to it.
        found = now - tables.term_from > self._together
        if not booted and found and now - machine.born_at > BOOT * machine.kind.boot_s:
            return "it never came up"
        if machine.sick and not any(claim.job.spec.service for claim in machine.claims.values()):
            return "it is sick"
        for claim in machine.claims.values():
            since = tables.cancelled_at.get(claim.job.uid)
            if since is not None and now - since > CANCEL_BY * tables.cancel_s:
                return f"it still holds {task_name(claim.task)}, which was cancelled"
        return None
