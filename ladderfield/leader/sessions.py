"""Processes worker reports and the answers to orders: the rules by which a claim ends."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ladderfield.jobs.model import MachineType
from ladderfield.leader.machine_orders import MachineOrders
from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Claim, TaskId, task_name
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.orders import Order
from ladderfield.workers.report import Report, TaskReport

log = logging.getLogger(__name__)

MIN_IGNORED_MESSAGES = 2  # consecutive ignored messages after which a machine counts as not receiving our answers


class Sessions:
    """Applies reports to the leader's tables; ``orders`` derives the orders for each machine."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables
        self._machine_orders = MachineOrders(tables, self.note_ignored_message)

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
        fencing = self.tables.fencing
        accepted = fencing.owns(report.epoch)
        lease_expired = lease_has_expired(machine, report)
        self._record_heartbeat(machine, accepted, now)
        if lease_expired:
            self.tables.zones.on_machine_restarted(machine)
        if report.session > machine.session:
            machine.pushed_launches.clear()  # the worker refuses orders of earlier sessions from now on
            recently = previously_heard_at is not None and now - previously_heard_at < self.tables.lease_s / 2
            if recently and previously_answered is not None:
                # It was heard and answered throughout, and yet its lease has expired.
                self.note_ignored_message(machine, MIN_IGNORED_MESSAGES, now)
        elif previously_answered is not None and previously_answered < order and not accepted:
            self.note_ignored_message(machine, 1, now)  # it was answered, but has not accepted this leader's epoch
        if accepted and report.epoch > machine.epoch:
            machine.confirm_reachable()  # it has received a message with the higher token
            fencing.on_token_shown(machine, report.epoch)
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
        if tables.fencing.owns(report.epoch) and newest:
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
                sent = claim.launch.session
                if self._attempt_cannot_run(machine, claim, report, answering):
                    log.info(
                        "task %s: attempt %d no longer exists on %s", task_name(claim.task), claim.attempt, machine.host
                    )
                    tables.end(claim, False, now)
                launch_lost = launch_lost or (sent == report.session and claim.launch.session is None)
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
        launch = claim.launch
        if launch.session is None:
            if launch.inherited:
                return True
            # The machine refused the launch, so a claim that is being stopped can end now. But the report in the answer
            # to an /orders call may predate orders that the machine has since got in answer to its own report.
            return claim.stop_reason is not None and answering and claim.attempt not in machine.pushed_launches
        if launch.session != report.session:
            return True  # that session is over, and the worker refuses its orders
        if claim.attempt in machine.pushed_launches or not answering or report.sequence <= launch.sequence:
            return False  # a copy of the launch may still be carried out
        # The launch was sent in the answer to an earlier report. The worker has one report in flight at a time and
        # drops late answers, so that answer is lost, and only a new launch can start this attempt.
        launch.lost()
        return claim.stop_reason is not None

    def _update_listed_claim(self, machine: Machine, claim: Claim, task_report: TaskReport, now: float) -> None:
        """Update a claim whose attempt the machine lists, and end it if the attempt has exited."""
        tables, job = self.tables, claim.job
        if (claim.phase is None and not claim.launch.inherited) or (
            claim.stop_reason and task_report.phase in ("flushing", "exited")
        ):
            machine.confirm_reachable()  # a launch or a stop has taken effect
        inherited = claim.launch.inherited
        claim.launch.listed(machine.session)
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
        """The orders due for the machine; see ``MachineOrders.due``."""
        return self._machine_orders.due(machine, now, answered_sequence, may_start)

    def orders_answered(self, machine: Machine, attempts: Iterable[int], executed: bool) -> None:
        """Handle the answer to an /orders call; a refused one is refused however often and late it arrives."""
        if executed:
            machine.confirm_reachable()
            return
        for attempt in attempts:
            machine.pushed_launches.pop(attempt, None)
        for claim in machine.claims.values():
            if claim.attempt in attempts:
                claim.launch.refused()


def lease_has_expired(machine: Machine, report: Report) -> bool:
    """Whether the lease expired since the machine was last heard, or since an earlier leader assigned its tasks."""
    if machine.last_report_at is not None:
        return report.session > machine.session
    return bool(machine.claims) and machine.claims.keys().isdisjoint(
        task_report.task() for task_report in report.task_reports
    )
