"""The orders for a machine: launches of recorded claims, stops, and reaps of attempts whose end is recorded."""

from __future__ import annotations

import math
from collections.abc import Callable

from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Claim, TaskId
from ladderfield.workers.machine import Machine
from ladderfield.workers.orders import Order

RESEND_REPORT_INTERVALS = 2.0  # wait before resending a stop without effect or a launch that isn't listed
RAISE_INTERVAL_LEASES = 0.5  # how often a worker reports a higher token at once, and how often ends alone raise it
MAX_KEPT_ATTEMPTS = 64  # ended attempts on a machine that wait for the next raise; they lengthen its reports
WIND_DOWN_FACTOR = 2.0  # of markCostS: time allowed to save a checkpoint, as machines differ in speed


class MachineOrders:
    """Derives the orders for each machine from the leader's tables."""

    def __init__(self, tables: LeaderTables, note_ignored_message: Callable[[Machine, int, float], None]) -> None:
        self.tables, self.note_ignored_message = tables, note_ignored_message

    def due(self, machine: Machine, now: float, answered_sequence: int | None, may_start: bool = True) -> list[Order]:
        """The orders due for the machine.

        ``answered_sequence`` is the sequence number of the report that they answer, None for a push. Without
        ``may_start`` nothing is launched, not even recorded claims: another controller may already be leader and may
        have confirmed the job as cancelled.
        """
        result: list[Order] = []
        if machine.deleting and not machine.claims:
            return result
        if answered_sequence is not None or self._sends_no_reports(machine, now):
            self._raise_token_if_due(machine, now)
        for claim in list(machine.claims.values()):
            if claim.stop_reason is not None:
                result += self._stop_orders(machine, claim, now)
            # Launching an unrecorded claim could start a task unknown to the next leader: the write may be delayed
            # until this term has ended.
            elif claim.recorded and not claim.launch.inherited and may_start:
                result += self._launch_orders(machine, claim, now, answered_sequence)
        result += self._unclaimed_orders(machine)
        return result

    def _sends_no_reports(self, machine: Machine, now: float) -> bool:
        """Whether the machine only answers pushes; otherwise a push must not outdate the answer to its report."""
        last_at = machine.unsolicited_report_at
        return last_at is None or now - last_at > RESEND_REPORT_INTERVALS * self.tables.report_s

    def _raise_token_if_due(self, machine: Machine, now: float) -> None:
        """Raise the machine's token if an attempt can't be reaped, or a claim not end, with the current one."""
        if not machine.pushed_launches:
            return
        kept = self._kept_attempts(machine)
        self.tables.delivery.most_kept_attempts = max(self.tables.delivery.most_kept_attempts, len(kept))
        reason = self._reason_to_raise(machine, kept, now)
        if reason is not None and self.tables.fencing.raise_token(machine, reason, now):
            self.tables.delivery.raised_tokens += 1

    def _reason_to_raise(self, machine: Machine, kept: list[TaskId], now: float) -> str | None:
        """Why the machine needs a higher token now, if it does."""
        if any(task in machine.claims for task in kept):
            return "a task is to start there again"
        if any(self._stop_awaits_launch(machine, claim, now) for claim in machine.claims.values()):
            return "the launch of a stopped attempt is not listed"
        interval_over = now - machine.token_raised_at >= RAISE_INTERVAL_LEASES * self.tables.lease_s
        if len(kept) > MAX_KEPT_ATTEMPTS or (kept and interval_over):
            return f"{len(kept)} attempts have ended"
        return None

    def _kept_attempts(self, machine: Machine) -> list[TaskId]:
        """Tasks whose ended attempt stays listed only because its launch may arrive once more."""
        excludes_copies = self.tables.fencing.excludes_copies
        return [task for task, attempt in self._ended_unclaimed(machine) if not excludes_copies(machine, attempt)]

    def _stop_awaits_launch(self, machine: Machine, claim: Claim, now: float) -> bool:
        """Whether a stopped claim can't end, because its pushed launch isn't listed and may still be carried out."""
        listed, _ = machine.reported_tasks.get(claim.task, (None, ""))
        return (
            claim.stop_reason is not None
            and listed is None
            and not claim.launch.was_sent_within(RESEND_REPORT_INTERVALS * self.tables.report_s, now)
            and not self.tables.fencing.excludes_copies(machine, claim.attempt)
        )

    def _stop_orders(self, machine: Machine, claim: Claim, now: float) -> list[Order]:
        """Return the orders that stop a claim's attempt, if they are due."""
        attempt, phase = machine.reported_tasks.get(claim.task, (None, ""))
        resend = RESEND_REPORT_INTERVALS * self.tables.report_s
        if attempt == claim.attempt and phase != "exited" and now - claim.stop_sent_at > resend:
            resent = claim.stop_sent_at > -math.inf
            if resent and phase != "flushing":
                self.note_ignored_message(machine, 1, now)
            claim.stop_sent_at = now
            return [Order.stop(claim.task, claim.attempt, 0.0 if resent else self._wind_down_s(claim))]
        return []

    def _launch_orders(self, machine: Machine, claim: Claim, now: float, answered_sequence: int | None) -> list[Order]:
        """Return the orders that launch a claim's attempt, if they are due."""
        if claim.task in machine.reported_tasks:
            return []  # an earlier attempt there makes the worker refuse the launch
        if answered_sequence is None and not self.tables.fencing.may_push_launches(machine):
            return []
        if claim.launch.was_sent_within(RESEND_REPORT_INTERVALS * self.tables.report_s, now):
            return []
        claim.launch.sent(machine.session, machine.sequence if answered_sequence is None else answered_sequence, now)
        if answered_sequence is None:
            self.tables.fencing.note_pushed_launch(machine, claim.attempt)
        return [Order.launch(claim.task, claim.attempt)]

    def _unclaimed_orders(self, machine: Machine) -> list[Order]:
        """Return orders for listed attempts without a claim: stop, or reap once their end is recorded."""
        result: list[Order] = []
        for task, (attempt, phase) in machine.reported_tasks.items():
            current = machine.claims.get(task)
            if phase != "exited" and (current is None or current.attempt != attempt):
                # No claim allows this attempt to run.
                result.append(Order.stop(task, attempt, 0.0))
        excludes_copies = self.tables.fencing.excludes_copies
        result += [
            Order.reap(task, attempt)
            for task, attempt in self._ended_unclaimed(machine)
            if excludes_copies(machine, attempt)
        ]
        return result

    def _ended_unclaimed(self, machine: Machine) -> list[tuple[TaskId, int]]:
        """Listed tasks and attempts that have ended, without a claim and with their end on record."""
        return [
            (task, attempt)
            for task, (attempt, phase) in machine.reported_tasks.items()
            if phase == "exited"
            and ((claim := machine.claims.get(task)) is None or claim.attempt != attempt)
            and self._end_is_recorded(task)
        ]

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
