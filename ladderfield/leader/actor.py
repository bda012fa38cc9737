"""The leader as an actor: a single loop reads one inbox and owns the tables; helper tasks do the I/O.

The helpers (writer, dispatcher, cloud tasks) get copies of the data they need and send their results as messages. The
inbox is bounded: a report that doesn't fit is refused at once, while senders that must not lose messages, such as the
view, wait for space.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from typing import Any

import trio

from ladderfield.changes import Subscription
from ladderfield.connectivity.authority import Decision
from ladderfield.connectivity.authority_log import AuthorityLog
from ladderfield.connectivity.reachability import Reachability
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.cloud_tasks import CloudTasks
from ladderfield.leader.delivery_counts import DeliveryLog
from ladderfield.leader.description_cleaner import DescriptionCleaner
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
    TimerFired,
    TransactionAnswered,
    WriterReady,
)
from ladderfield.leader.report_intake import ReportIntake
from ladderfield.leader.resignation import Resignation
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leader.writer import Writer
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.term import Term, grace_of
from ladderfield.view import View
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)

INBOX_SHARE = 1.0  # messages per connection: after a takeover the whole fleet may report at once
MIN_INBOX_MESSAGES = 256
PASS_TIME_SHARE = 0.2  # maximum share of the loop's time spent in scheduling passes
EMPTY_PASS_TIME_SHARE = 0.05  # the same after a pass without new claims, which still examines every machine
TIMER_REPORT_INTERVALS = 1 / 6
BATCH_REPORT_INTERVALS = 1 / 3  # how long finished tasks may wait to be recorded in one batch


class Leader:
    """The leader of one term."""

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
        # An earlier leader may keep answering reports during its grace period, which depends on its version.
        members = [settings.member, *(peer.member for peer in settings.peers)]
        grace = max(grace_of(settings, view, member) for member in members)
        self.inbox_size = max(MIN_INBOX_MESSAGES, int(settings.cluster.quota.max_connections * INBOX_SHARE))
        self.send, self.inbox = trio.open_memory_channel[Message](self.inbox_size)
        self.scheduler = Scheduler(
            settings,
            term.epoch,
            trio.current_time(),
            time.time(),
            grace,
            dependencies,
            term.earlier_leaders,
            zone_options,
        )
        self.ledger = Ledger(self.scheduler, term.epoch_revision, settings.cluster.state.txn_ops)
        self.dispatcher = Dispatcher(settings, term, self.scheduler, self.send)
        self.term.earlier = self.scheduler.earlier
        self.scheduler.authority = self.term.authority
        self.scheduler.push = lambda machine: self.dispatcher.request(machine.host)
        self.writer = Writer(settings, term.epoch, client, self.send)
        self.cloud_tasks = CloudTasks(settings, term, cloud, client, view, self.send)
        self.description_cleaner = DescriptionCleaner(settings, term, client, view)
        self.fleet = FleetManager(term, self.scheduler, self.cloud_tasks, self.dispatcher)
        self.intake = ReportIntake(term, self.scheduler, self.dispatcher, reachability)
        self.delivery_log = DeliveryLog(term.epoch, self.scheduler.delivery, trio.current_time())
        self._recorded_at = self._next_pass_at = -math.inf
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ReportReceived: self.intake.on_report,
            KeysChanged: self._on_keys_changed,
            TransactionAnswered: self._on_transaction_answered,
            WriterReady: self._on_writer_ready,
            OrdersAnswered: self.intake.on_orders_answered,
            MachinesListed: self.fleet.on_machines_listed,
            RentalAnswered: self.fleet.on_rental_answered,
            DeletionAnswered: self.fleet.on_deletion_answered,
            CancellationsLearned: self._on_cancellations_learned,
            NoOtherLeader: self._on_no_other_leader,
            ControllersChecked: self._on_controllers_checked,
            TimerFired: self._on_timer_fired,
        }

    async def run(self, announce: Callable[[trio.MemorySendChannel[Message] | None], None]) -> None:
        """Take over, announce the inbox, and run until the term ends."""
        while self.view.revision < self.term.epoch_revision:
            # The takeover needs a current view, but a term that has ended must not delay the next one.
            if self.term.over.is_set():
                return
            with trio.move_on_after(self.term.ttl):
                await self.view.wait_for_revision(self.term.epoch_revision)
        with self.view.subscribe() as changes:
            self.scheduler.load(dict(self.view.data), trio.current_time())
            log.info(
                "epoch %d: took over %d jobs, %d machines with claims",
                self.term.epoch,
                len(self.scheduler.jobs),
                len(self.scheduler.machines),
            )
            async with trio.open_nursery() as nursery:
                self.dispatcher.nursery = self.fleet.nursery = nursery
                nursery.start_soon(self._feed_view_changes, changes)
                nursery.start_soon(self.writer.run)
                nursery.start_soon(self._run_timer)
                nursery.start_soon(self.cloud_tasks.list_machines)
                nursery.start_soon(self.cloud_tasks.record_types)
                nursery.start_soon(self.description_cleaner.run)
                nursery.start_soon(self._loop)
                announce(self.send)
                if self.resignation is not None:
                    self.resignation.nursery = nursery
                await self.term.over.wait()
                announce(None)
                nursery.cancel_scope.cancel()
        while (message := self._next_message()) is not None:
            if isinstance(message, ReportReceived):
                message.answer.set(None)

    async def _loop(self) -> None:
        while not self.term.over.is_set():
            message = await self.inbox.receive()
            try:
                self._handle_queued(message)
                self._advance(trio.current_time())
            except Exception:
                # The tables may be inconsistent now, but the recorded state is not: the next leader rebuilds from it,
                # and the job API keeps serving users in the meantime.
                log.exception("epoch %d: unhandled error in the leader loop", self.term.epoch)
                self.term.end("internal error")

    def _handle_queued(self, message: Message) -> None:
        """Handle a message and those queued behind it, so that they share one scheduling pass."""
        self._handlers[type(message)](message, trio.current_time())
        for _ in range(self.inbox_size):
            following = self._next_message()
            if following is None:
                return
            self._handlers[type(following)](following, trio.current_time())

    def _next_message(self) -> Message | None:
        """Return the next queued message, or None if the inbox is empty."""
        try:
            return self.inbox.receive_nowait()
        except trio.WouldBlock:
            return None

    def _advance(self, now: float) -> None:
        """Run a scheduling pass, submit the next transaction and push orders, after the messages were handled."""
        # A pass runs only when the writer can record its claims at once, and passes are limited to a share of the
        # loop's time: under a flood of reports, many messages share one pass.
        if self.scheduler.changed and not self.writer.busy and now >= self._next_pass_at and self._may_claim(now):
            claimed = self.scheduler.schedule(now)
            pass_s = trio.current_time() - now
            now += pass_s
            self._next_pass_at = now + pass_s * (1 / (PASS_TIME_SHARE if claimed else EMPTY_PASS_TIME_SHARE) - 1)
        if not self.writer.busy:
            batch = now - self._recorded_at >= BATCH_REPORT_INTERVALS * self.report_s
            txn = None if self.term.resigning else self.ledger.collect(batch, self.client.leader_writes.level())
            if txn is not None:
                if batch:
                    self._recorded_at = now
                self.writer.submit(txn)
        self.dispatcher.dispatch(now)

    def _may_claim(self, now: float) -> bool:
        return self.term.authority().allows(Decision.CLAIM, now)

    def _on_keys_changed(self, message: KeysChanged, now: float) -> None:
        for change in message.changes:
            if change.key == EPOCH and change.value and change.value["epoch"] > self.term.epoch:
                self.term.end(f"epoch {change.value['epoch']} was recorded")
        self.scheduler.take_changes(message.changes, now)

    def _on_writer_ready(self, message: WriterReady, now: float) -> None:
        self.writer.busy = False

    def _on_transaction_answered(self, message: TransactionAnswered, now: float) -> None:
        if message.outcome is None:
            self.ledger.refused(message.txn)
        elif message.outcome.failed is None:
            self.ledger.applied(message.txn, message.outcome.revision, now)
        elif EPOCH in message.outcome.failed:
            self.term.end("another epoch was recorded")
        else:
            self.ledger.retry_with_revisions(message.txn, message.revisions)

    def _on_cancellations_learned(self, message: CancellationsLearned, now: float) -> None:
        for uid in message.uids:
            # It must have been confirmed after ``known_at``, or it would be known already.
            self.scheduler.cancellation_reported(uid, self.term.known_at, now)
        self.term.note_known(message.known_at)

    def _on_no_other_leader(self, message: NoOtherLeader, now: float) -> None:
        self.scheduler.earlier.confirm_none_left(self.term.epoch, now)

    def _on_controllers_checked(self, message: ControllersChecked, now: float) -> None:
        self.scheduler.zones.on_controllers_checked(message.reachable)

    def _on_timer_fired(self, message: TimerFired, now: float) -> None:
        if not self._may_claim(now):
            self.scheduler.zones.extend_holds(now)
        to_delete = self.scheduler.sweep(now)
        self.dispatcher.request_due(now)
        self.fleet.manage(to_delete, now)
        self._observe_reachability(now)
        self.delivery_log.observe(now)

    def _observe_reachability(self, now: float) -> None:
        """Update the reachability counts of directly reporting machines, and resign if that is due."""
        if self.reachability is None:
            return
        counts = {
            zone: (count.machines, count.reporting_directly) for zone, count in self.scheduler.detector.zones.items()
        }
        self.reachability.workers.set_leader_counts(counts)
        machines_back = 0 if self.resignation is None else self.resignation.succession.reporting_elsewhere(now)
        self.reachability.judge_workers(now, TIMER_REPORT_INTERVALS * self.report_s, machines_back)
        self.authority_log.observe(self.term.authority(), now)
        if self.resignation is not None:
            self.resignation.consider(now)

    async def _feed_view_changes(self, changes: Subscription) -> None:
        while True:
            await self.send.send(KeysChanged(await changes.receive()))

    async def _run_timer(self) -> None:
        while True:
            await trio.sleep(TIMER_REPORT_INTERVALS * self.report_s)
            await self.send.send(TimerFired())
