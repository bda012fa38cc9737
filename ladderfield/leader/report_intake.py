"""What workers say, taken into the leader's tables: reports, and the answers to pushes."""

from __future__ import annotations

from ladderfield.connectivity.authority import Authority, Decision, EpochJudgement
from ladderfield.connectivity.reachability import Reachability
from ladderfield.leader.dispatcher import Dispatcher
from ladderfield.leader.messages import OrdersAnswered, ReportReceived
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leader.scheduling_pass import OVERDUE_REPORT_INTERVALS
from ladderfield.term import Term
from ladderfield.workers.orders import Order, ReportAnswer, log_orders
from ladderfield.workers.report import Report


class ReportIntake:
    """Handles the workers' messages for one leader."""

    def __init__(
        self, term: Term, scheduler: Scheduler, dispatcher: Dispatcher, reachability: Reachability | None
    ) -> None:
        self.term, self.scheduler, self.dispatcher, self.reachability = term, scheduler, dispatcher, reachability

    def on_report(self, message: ReportReceived, now: float) -> None:
        """Handle a worker's report: answer it with the orders that are due, or with None if it must not be answered."""
        report = message.report
        authority = self.term.authority()
        if self._saw_later_epoch(report, authority, now):
            message.answer.set(None)
            return
        if not authority.allows(Decision.KEEP_LEASE_ALIVE, now) or self.scheduler.detector.must_let_lease_end(
            report.host, now
        ):
            message.answer.set(None)
            return
        is_newest = self._is_newest(report)
        machine = self.scheduler.sessions.report(report, now, answering=True)
        orders: list[Order] = []
        if not is_newest:
            self.scheduler.delivery.repeated_reports += 1
        elif machine is not None:
            machine.note_route(message.relayed, now)
            may_launch = authority.allows(Decision.LAUNCH, now)
            orders = self.scheduler.sessions.orders(machine, now, report.sequence, may_launch)
        fencing = self.scheduler.fencing
        token = fencing.first if machine is None else fencing.token(machine)
        log_orders(report.host, "an answer", token, report.session, orders)
        message.answer.set(ReportAnswer(token, orders))

    def _is_newest(self, report: Report) -> bool:
        """Whether the report is newer than all before; the answer to any other reaches nobody."""
        machine = self.scheduler.machines.get(report.host)
        return machine is None or (report.session, report.sequence) > (machine.session, machine.sequence)

    def _saw_later_epoch(self, report: Report, authority: Authority, now: float) -> bool:
        """Whether the machine has seen a later leader's epoch and so ignores this leader, whose term then ends.

        An epoch that no leader has used is a fault of that machine alone: it is marked as faulty.
        """
        judgement = authority.judge_epoch(report.epoch, now)
        machine = self.scheduler.machines.get(report.host)
        never_sent = machine is not None and self.scheduler.fencing.was_never_sent(machine, report.epoch)
        if judgement is EpochJudgement.NOT_LATER and not never_sent:
            return False
        if judgement is EpochJudgement.IMPOSSIBLE or never_sent:
            self.scheduler.mark_faulty_for_epoch(report.host, report.epoch)
        else:
            self.term.end(f"machine {report.host} has seen epoch {report.epoch}")
        return True

    def on_orders_answered(self, message: OrdersAnswered, now: float) -> None:
        """Handle the outcome of a push: a report in its answer, or a sign that the machine can't be reached."""
        self.dispatcher.push_finished(message.host)
        machine = self.scheduler.machines.get(message.host)
        if machine is None:
            return
        if self.reachability is not None and message.report is not None:
            self.reachability.workers.note_exchange(machine.zone, True, now)
        if message.report is None or message.report.host != message.host:
            # Counts only for a machine that reports to this controller directly: one that is silent or relayed is
            # unreachable from here anyway.
            heard_recently = (
                machine.last_report_at is not None
                and now - machine.last_report_at <= OVERDUE_REPORT_INTERVALS * self.scheduler.report_s
            )
            if heard_recently and not machine.relayed:
                self.scheduler.sessions.note_ignored_message(machine, 1, now)
            return
        if self._saw_later_epoch(message.report, self.term.authority(), now):
            return
        if message.report.session >= machine.session:
            self.scheduler.sessions.orders_answered(machine, message.attempts, message.executed)
        self.scheduler.sessions.report(message.report, now, answering=False)
        if not message.executed:
            self.scheduler.delivery.refused_pushes += 1
        if not message.executed or not self.scheduler.fencing.owns(machine.epoch):
            self.dispatcher.request(message.host)
