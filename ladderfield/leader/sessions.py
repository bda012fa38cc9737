"""What workers report and what they are told: the rules by which a claim ends."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable

from ladderfield.jobs.model import MachineType
from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Claim, TaskId, task_name
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.orders import Order
from ladderfield.workers.report import Report, Rung

log = logging.getLogger(__name__)

RESEND = 2.0  # of report_s: a stop that shows no effect, or a launch that isn't listed, goes out again
DEAF = 2  # signs in a row that our words don't reach a machine: then we believe it
WIND_DOWN = 2.0  # of markCostS: time allowed for saving, as machines differ in speed


class Sessions:
    """Takes reports in and hands orders out, on the leader's tables."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables

    def machine(self, host: str, endpoint: str, kind: str, zone: str, spot: bool, now: float) -> Machine | None:
        """The machine's entry, made or completed from what a report or the list says; None if it is gone."""
        tables = self.tables
        if host in tables.deleted_hosts:
            return None
        known: MachineType = tables.types.get(kind, UNKNOWN)
        machine = tables.machines.get(host)
        if machine is None:
            machine = tables.machines[host] = Machine(host, endpoint, known, zone, spot, now)
        elif machine.kind is UNKNOWN or not machine.endpoint:
            machine.learn(endpoint, known, zone, spot)
        return machine

    def report(self, report: Report, now: float, answering: bool) -> Machine | None:
        """Take a report in. ``answering``: it came to /v1/report, so that our answer renews the lease."""
        machine = self.machine(report.host, report.endpoint, report.type, report.zone, report.spot, now)
        if machine is None:
            return None
        heard_before, answered_before = machine.heard_at, machine.answered
        order = (report.tenure, report.tick)
        if answering:
            self._note_answer(machine, report, now)
        if order <= (machine.tenure, machine.tick) and heard_before is not None:
            return machine  # overtaken on its way: what it lists is no longer so
        accepted = report.epoch == self.tables.epoch
        lost_all = came_back_with_nothing(machine, report)
        self._note_sign_of_life(machine, accepted, now)
        if lost_all:
            self.tables.zones.on_machine_restarted(machine)
        if report.tenure > machine.tenure:
            machine.unanswered_launches.clear()  # orders of an earlier session are refused from now on
            recently = heard_before is not None and now - heard_before < self.tables.lease_s / 2
            if recently and answered_before is not None:
                # We heard it all the time and answered, and still its lease has run out.
                self.ignored(machine, DEAF, now)
        elif answered_before is not None and answered_before < order and not accepted:
            self.ignored(machine, 1, now)  # it was answered, but has not taken our epoch
        machine.tenure, machine.tick, machine.epoch = report.tenure, report.tick, report.epoch
        machine.endpoint = report.endpoint
        self._check_machine(machine, report, now)
        self._take_tasks(machine, report, accepted, answering, now)
        return machine

    def _note_answer(self, machine: Machine, report: Report, now: float) -> None:
        """Our answer to this report renews the machine's lease."""
        tables, order = self.tables, (report.tenure, report.tick)
        machine.answered_at = now
        newest = machine.answered is None or order > machine.answered  # not a late copy
        if report.epoch == tables.epoch and newest:
            machine.reported_at = now
            if machine.cannot_report:
                machine.cannot_report, tables.changed = False, True
        machine.answered = max(order, machine.answered or order)

    def _note_sign_of_life(self, machine: Machine, accepted: bool, now: float) -> None:
        """The machine is there; only with our epoch ``accepted`` does it count as well."""
        tables = self.tables
        if machine.heard_at is None:
            log.info("machine %s: %s in %s is up", machine.host, machine.kind.name, machine.zone)
            machine.up_at = now
        machine.heard_at = now
        if accepted:
            if machine.fresh_at is None or now - machine.fresh_at > tables.report_s:
                tables.changed = True
            machine.fresh_at = now

    def _check_machine(self, machine: Machine, report: Report, now: float) -> None:
        """Whether the machine can be put on record, and whether the cloud takes it back."""
        if not machine.sick and not self.tables.pages.holds(machine):
            log.warning("machine %s: its name or address is too long to be put on record", machine.host)
            machine.sick = True
        if report.recall_s is not None and machine.recall_at is None:
            machine.recall_at = now + report.recall_s
            log.info("machine %s: taken back in %.1f s", machine.host, report.recall_s)
            self.tables.prepare_for_interruption(machine, now)

    def _take_tasks(self, machine: Machine, report: Report, accepted: bool, answering: bool, now: float) -> None:
        """Compare the tasks that the report lists with the machine's claims."""
        tables = self.tables
        listed: dict[TaskId, Rung] = {rung.task(): rung for rung in report.rungs}
        machine.seen = {task: (rung.attempt, rung.phase) for task, rung in listed.items()}
        lost = False
        for claim in list(machine.claims.values()):
            rung = listed.get(claim.task)
            if rung is not None and rung.attempt == claim.attempt:
                self._listed(machine, claim, rung, now)
            elif accepted:
                sent = claim.sent_tenure
                if self._gone(machine, claim, report, answering):
                    log.info("task %s: attempt %d is not on %s", task_name(claim.task), claim.attempt, machine.host)
                    tables.end(claim, False, now)
                lost = lost or (sent == report.tenure and claim.sent_tenure is None)
        if lost:
            self.ignored(machine, 1, now)
        if machine.not_hearing_since is not None:
            for claim in [one for one in machine.claims.values() if tables.unsent(one, machine)]:
                tables.end(claim, False, now)

    def ignored(self, machine: Machine, signs: int, now: float) -> None:
        """What we told the machine had no effect.

        Once may be chance; more often, our words don't reach it, however well its reports reach us. It gets no work
        then, what can be ended there ends, and it is replaced unless it hears again.
        """
        machine.ignored_signs += signs
        if machine.ignored_signs >= DEAF and machine.not_hearing_since is None:
            machine.not_hearing_since = now
            log.warning("machine %s: reports, but does not hear us", machine.host)
            self.tables.queues.withdraw(machine)
            self.tables.changed = True

    def _gone(self, machine: Machine, claim: Claim, report: Report, answering: bool) -> bool:
        """Whether a claim that the machine doesn't list is surely dead.

        The machine has accepted our epoch, so no earlier leader's order can run any more; what is left are our own
        orders.
        """
        if claim.sent_tenure is None:
            if claim.inherited:
                return True
            # Refused by the machine. Stopped meanwhile, it has nothing left to wait for; but what answers our own call
            # may be older than what the machine was told in answer to a report.
            return claim.stopping is not None and answering and claim.attempt not in machine.unanswered_launches
        if claim.sent_tenure != report.tenure:
            return True  # the session it was sent to is over, and orders of that session are refused
        if claim.attempt in machine.unanswered_launches or not answering or report.tick <= claim.sent_tick:
            return False  # a copy may still arrive
        # The launch went with the answer to an earlier report. The worker has one report in flight at a time and
        # drops late answers, so that answer is lost; nothing else can bring this attempt to life but a new launch.
        claim.sent_tenure = None
        claim.inherited = False
        return claim.stopping is not None

    def _listed(self, machine: Machine, claim: Claim, rung: Rung, now: float) -> None:
        tables, job = self.tables, claim.job
        if (claim.phase is None and not claim.inherited) or (claim.stopping and rung.phase in ("flushing", "exited")):
            machine.confirm_hearing()  # a launch or a stop of ours shows
        claim.sent_tenure = machine.tenure
        inherited, claim.inherited = claim.inherited, False
        if rung.phase != "exited":
            if rung.phase == "running" and claim.phase != "running":
                claim.running_at = now
                if not inherited:
                    tables.zones.on_task_running(claim, machine, now)
                log.debug("task %s: attempt %d runs on %s", task_name(claim.task), claim.attempt, machine.host)
                machine.use_image(job.spec.image, job.spec.image_gb)
            claim.phase = rung.phase
            return
        if rung.cause == "done":
            if claim.running_at is not None and len(job.finished_s) < 99:
                job.finished_s.append(now - claim.running_at)
                tables.estimates.finished(job.spec, now - claim.running_at)
            machine.finished += 1
            machine.blamed.clear()
            machine.use_image(job.spec.image, job.spec.image_gb)
            job.errors = 0
            job.failed_hosts.pop(machine.host, None)
        log.debug("task %s: attempt %d on %s: %s", task_name(claim.task), claim.attempt, machine.host, rung.cause)
        tables.end(claim, rung.cause == "done", now)
        if rung.cause == "error":
            tables.task_failed(claim, machine, now)
        elif rung.cause in ("no_room", "in_use", "unknown"):
            log.warning("task %s: %s refused it: %s", task_name(claim.task), machine.host, rung.cause)
            job.not_before = now + tables.report_s

    def orders(self, machine: Machine, now: float, tick: int | None, may_start: bool = True) -> list[Order]:
        """What the machine has to be told now. ``tick``: the report that this answers, None for a push.

        Without ``may_start`` nothing is launched, though it is on record: another controller may be leader already,
        and the job may be confirmed as cancelled there.
        """
        result: list[Order] = []
        if machine.deleting and not machine.claims:
            return result
        for claim in list(machine.claims.values()):
            if claim.stopping is not None:
                result += self._stop_orders(machine, claim, now, tick is not None and may_start)
            # Guards against a start that the next leader could not know of: its write may be late, and we may end.
            elif claim.recorded and not claim.inherited and may_start:
                result += self._launch_orders(machine, claim, now, tick)
        result += self._unclaimed_orders(machine)
        return result

    def _stop_orders(self, machine: Machine, claim: Claim, now: float, may_relaunch: bool) -> list[Order]:
        """What stops a claim's attempt, if it has to be told now."""
        attempt, phase = machine.seen.get(claim.task, (None, ""))
        resend = RESEND * self.tables.report_s
        if attempt == claim.attempt and phase != "exited" and now - claim.stop_at > resend:
            again = claim.stop_at > -math.inf
            if again and phase != "flushing":
                self.ignored(machine, 1, now)
            claim.stop_at = now
            return [Order.stop(claim.task, claim.attempt, 0.0 if again else self._wind_down(claim))]
        if self._lost(machine, claim, attempt) and may_relaunch and now - claim.sent_at > resend:
            # Guards the task against waiting for ever: its launch by /orders was lost, or may still come. An answer
            # can't be late: what is launched and stopped by it is listed, so that the claim ends, and shields against
            # the late copy.
            claim.sent_at = now
            return [Order.launch(claim.task, claim.attempt), Order.stop(claim.task, claim.attempt, 0.0)]
        return []

    def _launch_orders(self, machine: Machine, claim: Claim, now: float, tick: int | None) -> list[Order]:
        """What launches a claim's attempt, if it has to be told now."""
        attempt, _ = machine.seen.get(claim.task, (None, ""))
        if attempt == claim.attempt:
            return []
        if attempt is not None:
            if attempt in machine.unanswered_launches and claim.sent_tenure is None:
                # The old attempt has to stay listed, as it shields against its own late copies.
                self.tables.avoid_machine(claim.job, machine, now)
                self.tables.end(claim, False, now)
            return []
        if claim.sent_tenure is not None and now - claim.sent_at <= RESEND * self.tables.report_s:
            return []
        claim.sent_tenure, claim.sent_at = machine.tenure, now
        if tick is None:
            machine.unanswered_launches[claim.attempt] = machine.unanswered_launches.get(claim.attempt, 0) + 1
        claim.sent_tick = machine.tick if tick is None else tick
        return [Order.launch(claim.task, claim.attempt)]

    def _unclaimed_orders(self, machine: Machine) -> list[Order]:
        """What becomes of listed attempts that have no claim: stopped, or reaped once their end is on record."""
        result: list[Order] = []
        for task, (attempt, phase) in machine.seen.items():
            current = machine.claims.get(task)
            if current is not None and current.attempt == attempt:
                continue
            if phase != "exited":
                # No claim stands for it. That can't be ours to want, so it has to go.
                result.append(Order.stop(task, attempt, 0.0))
            elif attempt not in machine.unanswered_launches and self._settled(task):
                result.append(Order.reap(task, attempt))
        return result

    @staticmethod
    def _lost(machine: Machine, claim: Claim, listed: int | None) -> bool:
        """Whether a stop can't show, as the launch before it does not. A cancelled task is never launched anew."""
        return listed is None and claim.attempt in machine.unanswered_launches and claim.job.final is None

    def _wind_down(self, claim: Claim) -> float:
        spec = claim.job.spec
        if not spec.checkpoint_s or claim.stopping == "cancelled":
            return 0.0
        return spec.save_s * WIND_DOWN

    def _settled(self, task: TaskId) -> bool:
        """Whether the task's end is on record, so that the worker may forget it."""
        job = self.tables.jobs.get(task[0])
        return job is None or job.final is not None or task[1] not in job.unsettled

    def answered(self, machine: Machine, attempts: Iterable[int], executed: bool) -> None:
        """An /orders call was answered. Only then is it known that no copy of it is under way."""
        if executed:
            machine.confirm_hearing()
        for attempt in attempts:
            left = machine.unanswered_launches.pop(attempt, 0) - 1
            if left > 0:
                machine.unanswered_launches[attempt] = left
        if not executed:
            for claim in machine.claims.values():
                if claim.attempt in attempts:
                    claim.sent_tenure = None


def came_back_with_nothing(machine: Machine, report: Report) -> bool:
    """Whether the machine's lease has run out since it was last heard, or since an earlier leader gave it its tasks."""
    if machine.heard_at is not None:
        return report.tenure > machine.tenure
    return bool(machine.claims) and machine.claims.keys().isdisjoint(rung.task() for rung in report.rungs)
