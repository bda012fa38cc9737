"""Processes worker reports and produces orders: the rules by which a claim ends."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable

from ladderfield.jobs.model import MachineType
from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Claim, TaskId, task_name
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.orders import Order
from ladderfield.workers.report import Report, TaskReport

log = logging.getLogger(__name__)

RESEND_REPORT_INTERVALS = 2.0  # wait before resending a stop without effect or a launch that isn't listed
MIN_IGNORED_MESSAGES = 2  # consecutive ignored messages after which a machine counts as not receiving our answers
WIND_DOWN_FACTOR = 2.0  # of markCostS: time allowed to save a checkpoint, as machines differ in speed


class Sessions:
    """Applies reports to the leader's tables and derives the orders for each machine."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables

    def machine(self, host: str, endpoint: str, kind: str, zone: str, spot: bool, now: float) -> Machine | None:
        """Return the machine's entry, created or completed from a report or the cloud's list; None once deleted."""
        tables = self.tables
        if host in tables.deleted_hosts:
            return None
        known: MachineType = tables.types.get(kind, UNKNOWN)
        machine = tables.machines.get(host)
        if machine is None:
            machine = tables.machines[host] = Machine(host, endpoint, known, zone, spot, now)
        elif machine.kind is UNKNOWN or not machine.endpoint:
            machine.set_details(endpoint, known, zone, spot)
        return machine

    def report(self, report: Report, now: float, answering: bool) -> Machine | None:
        """Apply a report. ``answering``: it was sent to /v1/report, so that the answer renews the worker's lease."""
        machine = self.machine(report.host, report.endpoint, report.type, report.zone, report.spot, now)
        if machine is None:
            return None
        previously_heard_at, previously_answered = machine.last_report_at, machine.answered
        order = (report.session, report.sequence)
        if answering:
            self._record_answer(machine, report, now)
        if order <= (machine.session, machine.sequence) and previously_heard_at is not None:
            return machine  # a later report was processed already, so the tasks listed here are out of date
        accepted = report.epoch == self.tables.epoch
        lease_expired = lease_has_expired(machine, report)
        self._record_heartbeat(machine, accepted, now)
        if lease_expired:
            self.tables.zones.on_machine_restarted(machine)
        if report.session > machine.session:
            machine.unanswered_launches.clear()  # the worker refuses orders of earlier sessions from now on
            recently = previously_heard_at is not None and now - previously_heard_at < self.tables.lease_s / 2
            if recently and previously_answered is not None:
                # It was heard and answered throughout, and yet its lease has expired.
                self.note_ignored_message(machine, MIN_IGNORED_MESSAGES, now)
        elif previously_answered is not None and previously_answered < order and not accepted:
            self.note_ignored_message(machine, 1, now)  # it was answered, but has not accepted this leader's epoch
        machine.session, machine.sequence, machine.epoch = report.session, report.sequence, report.epoch
        machine.endpoint = report.endpoint
        self._check_machine(machine, report, now)
        self._reconcile_tasks(machine, report, accepted, answering, now)
        return machine

    def _record_answer(self, machine: Machine, report: Report, now: float) -> None:
        """Record that this report is answered, which renews the machine's lease."""
        tables, order = self.tables, (report.session, report.sequence)
        machine.answered_at = now
        newest = machine.answered is None or order > machine.answered  # false for a delayed duplicate
        if report.epoch == tables.epoch and newest:
            machine.unsolicited_report_at = now
            if machine.cannot_report:
                machine.cannot_report, tables.changed = False, True
        machine.answered = max(order, machine.answered or order)

    def _record_heartbeat(self, machine: Machine, accepted: bool, now: float) -> None:
        """Record a heartbeat; the machine counts as fresh only if it has ``accepted`` this leader's epoch."""
        tables = self.tables
        if machine.last_report_at is None:
            log.info("machine %s: %s in %s is up", machine.host, machine.kind.name, machine.zone)
            machine.first_report_at = now
        machine.last_report_at = now
        if accepted:
            if machine.epoch_confirmed_at is None or now - machine.epoch_confirmed_at > tables.report_s:
                tables.changed = True
            machine.epoch_confirmed_at = now

    def _check_machine(self, machine: Machine, report: Report, now: float) -> None:
        """Check that claims for the machine can be recorded, and handle a spot interruption notice."""
        if not machine.faulty and not self.tables.pages.can_hold(machine):
            log.warning("machine %s: marked as faulty, its name or address is too long to be recorded", machine.host)
            machine.faulty = True
        if report.interruption_s is not None and machine.interruption_at is None:
            machine.interruption_at = now + report.interruption_s
            log.info("machine %s: spot interruption in %.1f s", machine.host, report.interruption_s)
            self.tables.prepare_for_interruption(machine, now)

    def _reconcile_tasks(self, machine: Machine, report: Report, accepted: bool, answering: bool, now: float) -> None:
        """Reconcile the machine's claims with the tasks that the report lists."""
        tables = self.tables
        listed: dict[TaskId, TaskReport] = {task_report.task(): task_report for task_report in report.task_reports}
        machine.reported_tasks = {
            task: (task_report.attempt, task_report.phase) for task, task_report in listed.items()
        }
        launch_lost = False
        for claim in list(machine.claims.values()):
            task_report = listed.get(claim.task)
            if task_report is not None and task_report.attempt == claim.attempt:
                self._update_listed_claim(machine, claim, task_report, now)
            elif accepted:
                sent = claim.sent_session
                if self._attempt_cannot_run(machine, claim, report, answering):
                    log.info(
                        "task %s: attempt %d no longer exists on %s", task_name(claim.task), claim.attempt, machine.host
                    )
                    tables.end(claim, False, now)
                launch_lost = launch_lost or (sent == report.session and claim.sent_session is None)
        if launch_lost:
            self.note_ignored_message(machine, 1, now)
        if machine.unreachable_since is not None:
            for claim in [claim for claim in machine.claims.values() if tables.unsent(claim, machine)]:
                tables.end(claim, False, now)

    def note_ignored_message(self, machine: Machine, count: int, now: float) -> None:
        """Note that an answer or order to the machine had no effect.

        Once may be chance. Repeatedly, it means that the machine does not receive our answers although its reports
        arrive. Then it gets no new work, its claims end where that is safe, and it is replaced unless it recovers.
        """
        machine.unreachable_signs += count
        if machine.unreachable_signs >= MIN_IGNORED_MESSAGES and machine.unreachable_since is None:
            machine.unreachable_since = now
            log.warning("machine %s: unreachable, it reports but does not receive our answers", machine.host)
            self.tables.queues.withdraw(machine)
            self.tables.changed = True

    def _attempt_cannot_run(self, machine: Machine, claim: Claim, report: Report, answering: bool) -> bool:
        """Whether the attempt of a claim that the machine doesn't list can no longer run.

        The machine has accepted this leader's epoch and refuses orders of earlier leaders, so only this leader's own
        orders could still start it.
        """
        if claim.sent_session is None:
            if claim.inherited:
                return True
            # The machine refused the launch, so a claim that is being stopped can end now. But the report in the answer
            # to an /orders call may predate orders that the machine has since got in answer to its own report.
            return claim.stop_reason is not None and answering and claim.attempt not in machine.unanswered_launches
        if claim.sent_session != report.session:
            return True  # that session is over, and the worker refuses its orders
        if claim.attempt in machine.unanswered_launches or not answering or report.sequence <= claim.sent_sequence:
            return False  # a copy of the launch may still arrive
        # The launch was sent in the answer to an earlier report. The worker has one report in flight at a time and
        # drops late answers, so that answer is lost, and only a new launch can start this attempt.
        claim.sent_session = None
        claim.inherited = False
        return claim.stop_reason is not None

    def _update_listed_claim(self, machine: Machine, claim: Claim, task_report: TaskReport, now: float) -> None:
        """Update a claim whose attempt the machine lists, and end it if the attempt has exited."""
        tables, job = self.tables, claim.job
        if (claim.phase is None and not claim.inherited) or (
            claim.stop_reason and task_report.phase in ("flushing", "exited")
        ):
            machine.confirm_reachable()  # a launch or a stop has taken effect
        claim.sent_session = machine.session
        inherited, claim.inherited = claim.inherited, False
        if task_report.phase != "exited":
            if task_report.phase == "running" and claim.phase != "running":
                claim.running_at = now
                if not inherited:
                    tables.zones.on_task_running(claim, machine, now)
                log.debug("task %s: attempt %d started on %s", task_name(claim.task), claim.attempt, machine.host)
                machine.use_image(job.spec.image, job.spec.image_gb)
            claim.phase = task_report.phase
            return
        if task_report.cause == "done":
            if claim.running_at is not None and len(job.run_times_s) < 99:
                job.run_times_s.append(now - claim.running_at)
                tables.estimates.finished(job.spec, now - claim.running_at)
            machine.finished += 1
            machine.failed_jobs.clear()
            machine.use_image(job.spec.image, job.spec.image_gb)
            job.consecutive_errors = 0
            job.failed_hosts.pop(machine.host, None)
        log.debug(
            "task %s: attempt %d on %s exited: %s",
            task_name(claim.task),
            claim.attempt,
            machine.host,
            task_report.cause,
        )
        tables.end(claim, task_report.cause == "done", now)
        if task_report.cause == "error":
            tables.task_failed(claim, machine, now)
        elif task_report.cause in ("no_room", "in_use", "unknown"):
            log.warning("task %s: refused by machine %s: %s", task_name(claim.task), machine.host, task_report.cause)
            job.not_before = now + tables.report_s

    def orders(
        self, machine: Machine, now: float, answered_sequence: int | None, may_start: bool = True
    ) -> list[Order]:
        """Return the orders due for the machine.

        ``answered_sequence`` is the sequence number of the report that they answer, None for a push. Without
        ``may_start`` nothing is launched, not even recorded claims: another controller may already be leader and may
        have confirmed the job as cancelled.
        """
        result: list[Order] = []
        if machine.deleting and not machine.claims:
            return result
        for claim in list(machine.claims.values()):
            if claim.stop_reason is not None:
                result += self._stop_orders(machine, claim, now, answered_sequence is not None and may_start)
            # Launching an unrecorded claim could start a task unknown to the next leader: the write may be delayed
            # until this term has ended.
            elif claim.recorded and not claim.inherited and may_start:
                result += self._launch_orders(machine, claim, now, answered_sequence)
        result += self._unclaimed_orders(machine)
        return result

    def _stop_orders(self, machine: Machine, claim: Claim, now: float, may_relaunch: bool) -> list[Order]:
        """Return the orders that stop a claim's attempt, if they are due."""
        attempt, phase = machine.reported_tasks.get(claim.task, (None, ""))
        resend = RESEND_REPORT_INTERVALS * self.tables.report_s
        if attempt == claim.attempt and phase != "exited" and now - claim.stop_sent_at > resend:
            resent = claim.stop_sent_at > -math.inf
            if resent and phase != "flushing":
                self.note_ignored_message(machine, 1, now)
            claim.stop_sent_at = now
            return [Order.stop(claim.task, claim.attempt, 0.0 if resent else self._wind_down_s(claim))]
        if self._launch_may_be_lost(machine, claim, attempt) and may_relaunch and now - claim.sent_at > resend:
            # The launch pushed to /orders was lost or is delayed, and the task would wait forever. An answer to a
            # report can't be delayed, so launch and stop the attempt with it: the machine then lists the attempt,
            # which ends the claim, and refuses a late copy of the first launch.
            claim.sent_at = now
            return [Order.launch(claim.task, claim.attempt), Order.stop(claim.task, claim.attempt, 0.0)]
        return []

    def _launch_orders(self, machine: Machine, claim: Claim, now: float, answered_sequence: int | None) -> list[Order]:
        """Return the orders that launch a claim's attempt, if they are due."""
        attempt, _ = machine.reported_tasks.get(claim.task, (None, ""))
        if attempt == claim.attempt:
            return []
        if attempt is not None:
            if attempt in machine.unanswered_launches and claim.sent_session is None:
                # The old attempt has to stay listed, so that the machine refuses late copies of its launch.
                self.tables.avoid_machine(claim.job, machine, now)
                self.tables.end(claim, False, now)
            return []
        if claim.sent_session is not None and now - claim.sent_at <= RESEND_REPORT_INTERVALS * self.tables.report_s:
            return []
        claim.sent_session, claim.sent_at = machine.session, now
        if answered_sequence is None:
            machine.unanswered_launches[claim.attempt] = machine.unanswered_launches.get(claim.attempt, 0) + 1
        claim.sent_sequence = machine.sequence if answered_sequence is None else answered_sequence
        return [Order.launch(claim.task, claim.attempt)]

    def _unclaimed_orders(self, machine: Machine) -> list[Order]:
        """Return orders for listed attempts without a claim: stop, or reap once their end is recorded."""
        result: list[Order] = []
        for task, (attempt, phase) in machine.reported_tasks.items():
            current = machine.claims.get(task)
            if current is not None and current.attempt == attempt:
                continue
            if phase != "exited":
                # No claim allows this attempt to run.
                result.append(Order.stop(task, attempt, 0.0))
            elif attempt not in machine.unanswered_launches and self._end_is_recorded(task):
                result.append(Order.reap(task, attempt))
        return result

    @staticmethod
    def _launch_may_be_lost(machine: Machine, claim: Claim, listed: int | None) -> bool:
        """Whether a stop can take no effect because the launch may be lost. A cancelled task is never relaunched."""
        return listed is None and claim.attempt in machine.unanswered_launches and claim.job.final_phase is None

    def _wind_down_s(self, claim: Claim) -> float:
        """Seconds that a stopped attempt gets to save a checkpoint."""
        spec = claim.job.spec
        if not spec.checkpoint_interval_s or claim.stop_reason == "cancelled":
            return 0.0
        return spec.checkpoint_save_s * WIND_DOWN_FACTOR

    def _end_is_recorded(self, task: TaskId) -> bool:
        """Whether the task's end is recorded, so that the worker may forget it."""
        job = self.tables.jobs.get(task[0])
        return job is None or job.final_phase is not None or task[1] not in job.unrecorded_done

    def orders_answered(self, machine: Machine, attempts: Iterable[int], executed: bool) -> None:
        """Handle the answer to an /orders call, which shows that no copy of it is in flight any more."""
        if executed:
            machine.confirm_reachable()
        for attempt in attempts:
            remaining = machine.unanswered_launches.pop(attempt, 0) - 1
            if remaining > 0:
                machine.unanswered_launches[attempt] = remaining
        if not executed:
            for claim in machine.claims.values():
                if claim.attempt in attempts:
                    claim.sent_session = None


def lease_has_expired(machine: Machine, report: Report) -> bool:
    """Whether the lease expired since the machine was last heard, or since an earlier leader assigned its tasks."""
    if machine.last_report_at is not None:
        return report.session > machine.session
    return bool(machine.claims) and machine.claims.keys().isdisjoint(
        task_report.task() for task_report in report.task_reports
    )
