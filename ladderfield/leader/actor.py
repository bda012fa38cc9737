"""The leader as an actor: one inbox, one loop that alone touches the tables, and helpers that do the I/O.

Helpers (writer, dispatcher, cloud tasks) get copies of what they need and answer by message. The inbox is bounded:
who can't get in (a report) is told so at once, and who must get in (the view) is held back.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from typing import Any

import trio

from ladderfield.connectivity.authority import Authority, Decision, EpochJudgement
from ladderfield.connectivity.authority_log import AuthorityLog
from ladderfield.connectivity.reachability import Reachability
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.cloud_tasks import CloudTasks
from ladderfield.leader.dispatcher import Dispatcher
from ladderfield.leader.fleet_manager import FleetManager
from ladderfield.leader.ledger import Ledger
from ladderfield.leader.messages import (
    CancellationsLearned,
    ControllersChecked,
    DeletionAnswered,
    KeysChanged,
    MachinesListed,
    Message,
    NoOtherLeader,
    OrdersAnswered,
    RentalAnswered,
    ReportReceived,
    Tick,
    TransactionAnswered,
    WriterReady,
)
from ladderfield.leader.resignation import Resignation
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leader.scheduling_pass import OVERDUE_REPORT_INTERVALS
from ladderfield.leader.writer import Writer
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.term import Term, grace_of
from ladderfield.view import Change, View
from ladderfield.workers.orders import Order, ReportAnswer
from ladderfield.workers.report import Report
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)

INBOX_SHARE = 1.0  # of the sockets: every connection may bring a report at once, as a whole fleet does after a takeover
INBOX_LEAST = 256  # messages
PASS_SHARE = 0.2  # of the loop's time, at most: passes of scheduling
IDLE_PASS_SHARE = 0.05  # the same after a pass that found nothing to claim, which costs a look at every machine
TICK = 1 / 6  # of report_s
BATCH = 1 / 3  # of report_s: how long finished tasks may wait to be recorded together


class Leader:
    """One term in office."""

    def __init__(
        self,
        settings: Settings,
        term: Term,
        client: StateClient,
        view: View,
        cloud: Cloud,
        dependencies: DependencyGraph,
        zone_options: ZoneOptions | None = None,
        reachability: Reachability | None = None,
    ) -> None:
        self.term, self.client, self.view = term, client, view
        self.reachability = reachability
        self.resignation: Resignation | None = None
        self.authority_log = AuthorityLog()
        workers = settings.cluster.workers
        self.report_s = workers.report_s
        # An earlier leader may go on answering for so long, of whatever version it is.
        members = [settings.member, *(peer.member for peer in settings.peers)]
        grace = max(grace_of(settings, view, member) for member in members)
        self.inbox_size = max(INBOX_LEAST, int(settings.cluster.quota.max_connections * INBOX_SHARE))
        self.send, self.inbox = trio.open_memory_channel[Message](self.inbox_size)
        self.scheduler = Scheduler(
            settings, term.epoch, trio.current_time(), time.time(), grace, dependencies, term.before, zone_options
        )
        self.ledger = Ledger(self.scheduler, term.stamp, settings.cluster.state.txn_ops)
        self.dispatcher = Dispatcher(settings, term, self.scheduler, self.send)
        self.term.earlier = self.scheduler.earlier
        self.scheduler.authority = self.term.authority
        self.scheduler.push = lambda machine: self.dispatcher.request(machine.host)
        self.writer = Writer(settings, term.epoch, client, self.send)
        self.cloud_tasks = CloudTasks(settings, term, cloud, client, view, self.send)
        self.fleet = FleetManager(term, self.scheduler, self.cloud_tasks, self.dispatcher)
        self._recorded_at = self._pass_at = -math.inf
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ReportReceived: self._on_report,
            KeysChanged: self._on_keys_changed,
            TransactionAnswered: self._on_transaction_answered,
            WriterReady: self._on_writer_ready,
            OrdersAnswered: self._on_orders_answered,
            MachinesListed: self.fleet.on_machines_listed,
            RentalAnswered: self.fleet.on_rental_answered,
            DeletionAnswered: self.fleet.on_deletion_answered,
            CancellationsLearned: self._on_cancellations_learned,
            NoOtherLeader: self._on_no_other_leader,
            ControllersChecked: self._on_controllers_checked,
            Tick: self._on_tick,
        }

    async def run(self, announce: Callable[[trio.MemorySendChannel[Message] | None], None]) -> None:
        """Take over, announce the inbox, and serve until the term is over."""
        while self.view.ledger < self.term.stamp:
            # Without a view there is nothing to take over, but a term that is over must not hold up the next one.
            if self.term.over.is_set():
                return
            with trio.move_on_after(self.term.ttl):
                await self.view.reach(self.term.stamp)
        async with self.view.subscribe() as changes:
            self.scheduler.load(dict(self.view.data), trio.current_time())
            log.info(
                "epoch %d: took over %d jobs, %d machines with claims",
                self.term.epoch,
                len(self.scheduler.jobs),
                len(self.scheduler.machines),
            )
            async with trio.open_nursery() as nursery:
                self.dispatcher.nursery = self.fleet.nursery = nursery
                nursery.start_soon(self._feed, changes)
                nursery.start_soon(self.writer.run)
                nursery.start_soon(self._timer)
                nursery.start_soon(self.cloud_tasks.list_machines)
                nursery.start_soon(self.cloud_tasks.record_types)
                nursery.start_soon(self._loop)
                announce(self.send)
                if self.resignation is not None:
                    self.resignation.nursery = nursery
                await self.term.over.wait()
                announce(None)
                nursery.cancel_scope.cancel()
        while (message := self._next()) is not None:
            if isinstance(message, ReportReceived):
                message.answer.set(None)

    async def _loop(self) -> None:
        while not self.term.over.is_set():
            message = await self.inbox.receive()
            try:
                self._handle_gathered(message)
                self._advance(trio.current_time())
            except Exception:
                # The tables can't be trusted now. What is on record can: whoever is leader next rebuilds from it,
                # and users are served meanwhile.
                log.exception("epoch %d: an error in the leader's tables", self.term.epoch)
                self.term.end("of an error")

    def _handle_gathered(self, message: Message) -> None:
        """Handle a message and those that have come in meanwhile, which share one pass of scheduling."""
        self._handlers[type(message)](message, trio.current_time())
        for _ in range(self.inbox_size):
            following = self._next()
            if following is None:
                return
            self._handlers[type(following)](following, trio.current_time())

    def _next(self) -> Message | None:
        """What else has come in, or None."""
        try:
            return self.inbox.receive_nowait()
        except trio.WouldBlock:
            return None

    def _advance(self, now: float) -> None:
        """After the messages: schedule, record and push."""
        # A pass is worth its time only when what it claims can be recorded at once, and as far as passes leave time for
        # all else: a flood of reports shares them.
        if self.scheduler.changed and not self.writer.busy and now >= self._pass_at and self._may_claim(now):
            claimed = self.scheduler.schedule(now)
            took = trio.current_time() - now
            now += took
            self._pass_at = now + took * (1 / (PASS_SHARE if claimed else IDLE_PASS_SHARE) - 1)
        if not self.writer.busy:
            batch = now - self._recorded_at >= BATCH * self.report_s
            txn = None if self.term.resigning else self.ledger.collect(batch, self.client.leader_writes.level())
            if txn is not None:
                if batch:
                    self._recorded_at = now
                self.writer.submit(txn)
        self.dispatcher.dispatch(now)

    def _may_claim(self, now: float) -> bool:
        return self.term.authority().allows(Decision.CLAIM, now)

    def _on_report(self, message: ReportReceived, now: float) -> None:
        report = message.report
        authority = self.term.authority()
        if self._outranked(report, authority, now):
            message.answer.set(None)
            return
        if not authority.allows(Decision.KEEP_LEASE_ALIVE, now) or self.scheduler.detector.must_let_lease_end(
            report.host, now
        ):
            message.answer.set(None)
            return
        machine = self.scheduler.sessions.report(report, now, answering=True)
        orders: list[Order] = []
        if machine is not None and (report.tenure, report.tick) == (machine.tenure, machine.tick):
            machine.came(message.relayed, now)
            may_launch = authority.allows(Decision.LAUNCH, now)
            orders = self.scheduler.sessions.orders(machine, now, report.tick, may_launch)
        message.answer.set(ReportAnswer(self.term.epoch, orders))

    def _outranked(self, report: Report, authority: Authority, now: float) -> bool:
        """Whether the machine has seen a later leader's epoch, so that nothing we say counts there; then we yield.

        An epoch that no leader gave harms that machine only, which has to go.
        """
        judgement = authority.judge_epoch(report.epoch, now)
        if judgement is EpochJudgement.NOT_LATER:
            return False
        if judgement is EpochJudgement.INVENTED:
            self.scheduler.mark_faulty_for_epoch(report.host, report.epoch)
        else:
            self.term.end(f"machine {report.host} has seen epoch {report.epoch}")
        return True

    def _on_keys_changed(self, message: KeysChanged, now: float) -> None:
        for change in message.changes:
            if change.key == EPOCH and change.value and change.value["epoch"] > self.term.epoch:
                self.term.end(f"epoch {change.value['epoch']} is on record")
        self.scheduler.take_changes(message.changes, now)

    def _on_writer_ready(self, message: WriterReady, now: float) -> None:
        self.writer.busy = False

    def _on_transaction_answered(self, message: TransactionAnswered, now: float) -> None:
        if message.outcome is None:
            self.ledger.refused(message.txn)
        elif message.outcome.failed is None:
            self.ledger.applied(message.txn, message.outcome.ledger, now)
        elif EPOCH in message.outcome.failed:
            self.term.end("another epoch is on record")
        else:
            self.ledger.restamp(message.txn, message.stamps)

    def _on_orders_answered(self, message: OrdersAnswered, now: float) -> None:
        self.dispatcher.finished(message.host)
        machine = self.scheduler.machines.get(message.host)
        if machine is None:
            return
        if self.reachability is not None and message.report is not None:
            self.reachability.workers.asked(machine.zone, True, now)
        if message.report is None or message.report.host != message.host:
            # Only where reports do come straight from it: what is silent, or relayed, is out of our reach anyway.
            heard = machine.heard_at is not None and now - machine.heard_at <= OVERDUE_REPORT_INTERVALS * self.report_s
            if heard and not machine.relayed:
                self.scheduler.sessions.ignored(machine, 1, now)
            return
        if self._outranked(message.report, self.term.authority(), now):
            return
        if message.report.tenure >= machine.tenure:
            self.scheduler.sessions.answered(machine, message.attempts, message.executed)
        self.scheduler.sessions.report(message.report, now, answering=False)
        if not message.executed or machine.epoch != self.term.epoch:
            self.dispatcher.request(message.host)

    def _on_cancellations_learned(self, message: CancellationsLearned, now: float) -> None:
        for uid in message.uids:
            # Confirmed after what we knew for sure, or we would know it.
            self.scheduler.cancellation_reported(uid, self.term.known_at, now)
        self.term.knows(message.known_at)

    def _on_no_other_leader(self, message: NoOtherLeader, now: float) -> None:
        self.scheduler.earlier.none_left(self.term.epoch, now)

    def _on_controllers_checked(self, message: ControllersChecked, now: float) -> None:
        self.scheduler.zones.on_controllers_checked(message.reachable)

    def _on_tick(self, message: Tick, now: float) -> None:
        if not self._may_claim(now):
            self.scheduler.zones.extend_holds(now)
        doomed = self.scheduler.sweep(now)
        self.dispatcher.request_due(now)
        self.fleet.manage(doomed, now)
        self._observe_reach(now)

    def _observe_reach(self, now: float) -> None:
        """Say which machines come straight here, and resign if that is due."""
        if self.reachability is None:
            return
        counts = {zone: (one.machines, one.reporting_directly) for zone, one in self.scheduler.detector.zones.items()}
        self.reachability.workers.counted(counts)
        came_back = 0 if self.resignation is None else self.resignation.succession.came_back(now)
        self.reachability.look(now, TICK * self.report_s, came_back)
        self.authority_log.observe(self.term.authority(), now)
        if self.resignation is not None:
            self.resignation.consider(now)

    async def _feed(self, changes: trio.MemoryReceiveChannel[list[Change]]) -> None:
        async for batch in changes:
            await self.send.send(KeysChanged(batch))

    async def _timer(self) -> None:
        while True:
            await trio.sleep(TICK * self.report_s)
            await self.send.send(Tick())
