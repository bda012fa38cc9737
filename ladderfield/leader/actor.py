"""The leader as an actor: one inbox, one loop that alone touches the tables, helpers that do the I/O.

Helpers (writer, couriers, the cloud's errands) get copies of what they need and answer by message. The inbox is
bounded: who can't get in (a report) is told so at once, and who must get in (the view) is held back.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from typing import Any

import trio

from ladderfield.fleet.cloud import DELETE_MOST, RENT_MOST, Cloud, CloudTrouble, Listed, NoCapacity
from ladderfield.fleet.plan import Offer, Planner, Rental
from ladderfield.http import Client, NoAnswer
from ladderfield.jobs.chains import Chains
from ladderfield.jobs.model import FULL, TYPES, parse_types, types_record
from ladderfield.leader.desk import OVERDUE, Desk
from ladderfield.leader.ledger import Ledger, Txn
from ladderfield.leadership import EPOCH, Term, grace_of
from ladderfield.settings import Settings, address
from ladderfield.state import Outcome, Refused, StateClient, Unavailable
from ladderfield.view import Change, View
from ladderfield.workers.machine import Machine
from ladderfield.workers.report import Report, parse_report

log = logging.getLogger(__name__)

INBOX = 1.0  # of the sockets: every connection may bring a report at once, as a whole fleet does after a takeover
COURIERS = 64  # pushes at once, at most
COURIERS_SHARE = 1 / 24  # of the sockets: the same
KEPT_SHARE = 1 / 10  # of the sockets: connections to workers that are kept for the next push
SLOW_SHARE = 0.5  # of them: for machines that may not answer
ELECTION = 0.05  # of a leader's lease: no two elections are closer together
PASS_SHARE = 0.2  # of the loop's time, at most: passes of scheduling
WRITES_LEAST = 0.25  # of a transaction's limit: what it may hold at least before the next one is begun, and not less
WRITES_TWO = 2  # than the end of a job and a page of claims
TICK = 1 / 6  # of report_s
BATCH = 1 / 3  # of report_s: how long finished tasks may wait to be recorded together
PUSH_S = 1.0  # of report_s: how long a push waits for its answer
LIST_EVERY = 1.0  # of list_lag_s: a list is no fresher than that
PLAN_EVERY = 1 / 3  # of report_s
TYPES_EVERY = 20.0  # of report_s: prices move


class Reported:
    """A worker's report; ``done`` is set when it is answered or refused."""

    __slots__ = ("answer", "done", "relayed", "report")

    def __init__(self, report: Report, relayed: bool) -> None:
        self.report, self.relayed, self.done = report, relayed, trio.Event()
        self.answer: dict[str, Any] | None = None


class Changed:
    """Keys changed in the state service."""

    __slots__ = ("changes",)

    def __init__(self, changes: list[Change]) -> None:
        self.changes = changes


class Committed:
    """Our transaction was answered; ``stamps`` has what is on record where guards failed. No outcome: it was refused
    for good."""

    __slots__ = ("outcome", "stamps", "txn")

    def __init__(self, txn: Txn, outcome: Outcome | None, stamps: dict[str, int]) -> None:
        self.txn, self.outcome, self.stamps = txn, outcome, stamps


class Ready:
    """The writer may take the next transaction."""


class Pushed:
    """A courier is back: with the machine's report, or (None) without an answer."""

    __slots__ = ("attempts", "executed", "host", "report")

    def __init__(self, host: str, attempts: list[int], executed: bool, report: Report | None) -> None:
        self.host, self.attempts, self.executed, self.report = host, attempts, executed, report


class Seen:
    """The cloud's list."""

    __slots__ = ("hosts",)

    def __init__(self, hosts: list[Listed]) -> None:
        self.hosts = hosts


class Rented:
    """A rental's end: the hosts, or none."""

    __slots__ = ("hosts", "name", "offer", "refused")

    def __init__(self, name: str, offer: Offer, hosts: list[str], refused: bool) -> None:
        self.name, self.offer, self.hosts, self.refused = name, offer, hosts, refused


class Deleted:
    """A deletion was answered with 200 (``sure``), or not."""

    __slots__ = ("hosts", "sure")

    def __init__(self, hosts: list[str], sure: bool) -> None:
        self.hosts, self.sure = hosts, sure


class Learnt:
    """Cancellations that other controllers tell of; with these every one confirmed before ``known_at`` is known."""

    __slots__ = ("known_at", "uids")

    def __init__(self, uids: list[str], known_at: float = -math.inf) -> None:
        self.uids, self.known_at = uids, known_at


class Sole:
    """Every other controller has said, since our term began, that it is not leader."""


class Tick:
    """Time passes."""


class Leader:
    """One term in office."""

    def __init__(
        self, settings: Settings, term: Term, client: StateClient, view: View, cloud: Cloud, chains: Chains
    ) -> None:
        self.settings, self.term, self.client, self.view, self.cloud = settings, term, client, view, cloud
        workers = settings.cluster.workers
        self.report_s = workers.report_s
        # An earlier leader may go on answering for so long, of whatever version it is.
        members = [settings.member, *(peer.member for peer in settings.peers)]
        grace = max(grace_of(settings, view, member) for member in members)
        self._most = max(256, int(settings.cluster.quota.max_connections * INBOX))
        self.send, self.inbox = trio.open_memory_channel[Any](self._most)
        self.desk = Desk(settings, term.epoch, trio.current_time(), time.time(), grace, chains, term.before)
        self.desk.push = lambda machine: self._to_push.add(machine.host)
        self.ledger = Ledger(self.desk, term.stamp, settings.cluster.state.txn_ops)
        self.planner = Planner(self.desk)
        self._to_push: set[str] = set()
        self._pushing: dict[str, bool] = {}  # and whether the machine was silent then
        self._writing = False
        self._recorded_at = self._planned_at = self._pass_at = -math.inf
        self._renting: dict[str, Offer] = {}  # hires under way
        self._hires = 0
        self._deleting: set[str] = set()
        self._clients: dict[str, Client] = {}  # by host, those used last at the end
        sockets = settings.cluster.quota.max_connections
        self._couriers = max(2, min(COURIERS, int(sockets * COURIERS_SHARE)))
        self._keep = int(sockets * KEPT_SHARE)
        self._begin_with = max(WRITES_TWO, WRITES_LEAST * settings.cluster.state.txn_ops)
        self._txns, self._txn_inbox = trio.open_memory_channel[Txn](1)

    async def run(self, announce: Any) -> None:
        """Take over, announce the inbox, and serve until the term is over."""
        while self.view.ledger < self.term.stamp:
            # Without a view there is nothing to take over, but a term that is over must not hold up the next one.
            if self.term.over.is_set():
                return
            with trio.move_on_after(self.term.ttl):
                await self.view.reach(self.term.stamp)
        async with self.view.subscribe() as changes:
            self.desk.load(dict(self.view.data), trio.current_time())
            log.info(
                "epoch %d: took over %d jobs, %d machines with claims",
                self.term.epoch,
                len(self.desk.jobs),
                len(self.desk.machines),
            )
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._feed, changes)
                nursery.start_soon(self._writer)
                nursery.start_soon(self._timer)
                nursery.start_soon(self._lister)
                nursery.start_soon(self._typer)
                nursery.start_soon(self._loop)
                announce(self.send)
                await self.term.over.wait()
                announce(None)
                nursery.cancel_scope.cancel()
        while (message := self._next()) is not None:
            if isinstance(message, Reported):
                message.done.set()

    async def _loop(self) -> None:
        handlers: dict[type, Callable[[Any, float], None]] = {
            Reported: self._on_report,
            Changed: self._on_changed,
            Committed: self._on_committed,
            Ready: self._on_ready,
            Pushed: self._on_pushed,
            Seen: self._on_seen,
            Rented: self._on_rented,
            Deleted: self._on_deleted,
            Learnt: self._on_learnt,
            Sole: self._on_sole,
            Tick: self._on_tick,
        }
        while not self.term.over.is_set():
            message = await self.inbox.receive()
            try:
                for _ in range(self._most):  # what has gathered shares one pass of scheduling
                    handlers[type(message)](message, trio.current_time())
                    message = self._next()
                    if message is None:
                        break
                else:
                    handlers[type(message)](message, trio.current_time())
                self._advance(trio.current_time())
            except Exception:
                # The tables can't be trusted now. What is on record can: whoever is leader next rebuilds from it,
                # and users are served meanwhile.
                log.exception("epoch %d: an error in the leader's tables", self.term.epoch)
                self.term.end("of an error")

    def _next(self) -> Any:
        """What else has come in, or None."""
        try:
            return self.inbox.receive_nowait()
        except trio.WouldBlock:
            return None

    def _advance(self, now: float) -> None:
        """After the messages: schedule, record, push, and plan."""
        # A pass is worth its time only when what it claims can be recorded at once, and as far as passes leave time for
        # all else: a flood of reports shares them.
        if self.desk.changed and not self._writing and now >= self._pass_at and self.term.may_start(now):
            self.desk.schedule(now)
            took = trio.current_time() - now
            now += took
            self._pass_at = now + took * (1 / PASS_SHARE - 1)
        if not self._writing:
            batch = now - self._recorded_at >= BATCH * self.report_s
            txn = self.ledger.collect(batch, self.client.leader_writes.level())
            if txn is not None:
                if batch:
                    self._recorded_at = now
                self._writing = True
                self._txns.send_nowait(txn)
        self._push(now)

    def _push(self, now: float) -> None:
        """Send couriers out. Machines that were not heard lately may let theirs wait long; these get only a part."""
        slow = sum(1 for silent in self._pushing.values() if silent)
        for host in list(self._to_push):
            if len(self._pushing) >= self._couriers:
                break
            machine = self.desk.machines.get(host)
            if machine is None or not machine.endpoint:
                self._to_push.discard(host)
                continue
            silent = self._doubtful(machine, now)
            if host in self._pushing or (silent and slow >= self._couriers * SLOW_SHARE):
                continue
            self._to_push.discard(host)
            if machine.relayed and not silent:
                continue  # another controller reaches it, we likely don't: its orders go with the answers
            orders: list[dict[str, Any]] = []
            if machine.epoch == self.term.epoch:
                orders = self.desk.sessions.orders(machine, now, None, self.term.may_start(now))
            if orders or silent or machine.epoch != self.term.epoch:
                slow += silent
                self._pushing[host] = silent
                # The session for which these orders were made: one that began since must refuse them, or a launch would
                # stand there with no claim behind it (ran_twice).
                self.nursery.start_soon(self._courier, machine, max(machine.tenure, 1), orders)

    # -- messages ----------------------------------------------------------------------------------------------

    def _on_report(self, message: Reported, now: float) -> None:
        report = message.report
        if self._outranked(report, now):
            message.done.set()
            return
        patience = max(self.term.grace, self.term.ttl)
        if not self.term.may_answer(now) or self.desk.detector.lets_go(report.host, now, patience):
            message.done.set()
            return
        machine = self.desk.sessions.report(report, now, answering=True)
        orders: list[dict[str, Any]] = []
        if machine is not None and (report.tenure, report.tick) == (machine.tenure, machine.tick):
            machine.came(message.relayed, now)
            orders = self.desk.sessions.orders(machine, now, report.tick, self.term.may_start(now))
        message.answer = {"epoch": self.term.epoch, "orders": orders}
        message.done.set()

    def _outranked(self, report: Report, now: float) -> bool:
        """Whether the machine has seen a later leader's epoch, so that nothing we say counts there; then we yield.

        While our lease is surely ours nobody can have been elected after us, and no more often than a lease can have
        changed hands since: an epoch beyond that no leader gave. It harms that machine only, which has to go.
        """
        if report.epoch <= self.term.epoch:
            return False
        elections = max(0.0, now - self.term.renewed_at - self.term.ttl) / (self.term.ttl * ELECTION) + 1
        if self.term.may_start(now) or report.epoch > self.term.epoch + elections:
            machine = self.desk.machines.get(report.host)
            if machine is not None and not machine.sick:
                log.warning("machine %s: shows epoch %d, which nobody gave", report.host, report.epoch)
                machine.sick = True
                self.desk.queues.withdraw(machine)
        else:
            self.term.end(f"machine {report.host} has seen epoch {report.epoch}")
        return True

    def _on_changed(self, message: Changed, now: float) -> None:
        for change in message.changes:
            if change.key == EPOCH and change.value and change.value["epoch"] > self.term.epoch:
                self.term.end(f"epoch {change.value['epoch']} is on record")
        self.desk.take_changes(message.changes, now)

    def _on_ready(self, message: Ready, now: float) -> None:
        self._writing = False

    def _on_committed(self, message: Committed, now: float) -> None:
        if message.outcome is None:
            self.ledger.refused(message.txn)
        elif message.outcome.failed is None:
            self.ledger.applied(message.txn, message.outcome.ledger, now)
        elif EPOCH in message.outcome.failed:
            self.term.end("another epoch is on record")
        else:
            self.ledger.restamp(message.txn, message.stamps)

    def _on_pushed(self, message: Pushed, now: float) -> None:
        self._pushing.pop(message.host, None)
        machine = self.desk.machines.get(message.host)
        if machine is None:
            return
        if message.report is None or message.report.host != message.host:
            # Only where reports do come straight from it: what is silent, or relayed, is out of our reach anyway.
            heard = machine.heard_at is not None and now - machine.heard_at <= OVERDUE * self.report_s
            if heard and not machine.relayed:
                self.desk.sessions.ignored(machine, 1, now)
            return
        if self._outranked(message.report, now):
            return
        if message.report.tenure >= machine.tenure:
            self.desk.sessions.answered(machine, message.attempts, message.executed)
        self.desk.sessions.report(message.report, now, answering=False)
        if not message.executed or machine.epoch != self.term.epoch:
            self._to_push.add(message.host)

    def _on_seen(self, message: Seen, now: float) -> None:
        for one in message.hosts:
            fresh = one.host not in self.desk.machines
            machine = self.desk.sessions.machine(one.host, one.endpoint or "", one.type, one.zone, one.spot, now)
            if machine is None:
                continue
            machine.listed = one.phase
            if fresh:
                machine.born_at = now - one.held_s
                log.info("machine %s: found in the list, %s", one.host, one.phase)
            if machine.endpoint and one.phase == "running" and machine.epoch != self.term.epoch:
                self._to_push.add(one.host)  # raise the epoch there

    def _on_rented(self, message: Rented, now: float) -> None:
        self._renting.pop(message.name, None)
        if message.refused:
            self.planner.refuse(message.offer, now)
            self._planned_at = -math.inf  # look for something else at once
        kind, zone, spot = message.offer
        for host in message.hosts:
            self.desk.sessions.machine(host, "", kind, zone, spot, now)

    def _on_deleted(self, message: Deleted, now: float) -> None:
        self._deleting.difference_update(message.hosts)
        if message.sure:
            for host in message.hosts:
                if host in self.desk.machines:
                    self.planner.freed(self.desk.machines[host])
                self.desk.forget(host, now)
                client = self._clients.pop(host, None)
                if client is not None:
                    self.nursery.start_soon(client.drop)

    def _on_learnt(self, message: Learnt, now: float) -> None:
        for uid in message.uids:
            # Confirmed after what we knew for sure, or we would know it.
            self.desk.cancelled(uid, self.term.known_at, now)
        self.term.knows(message.known_at)

    def _on_sole(self, message: Sole, now: float) -> None:
        self.desk.detector.sole(now)

    def _on_tick(self, message: Tick, now: float) -> None:
        doomed = self.desk.sweep(now)
        for machine in self.desk.machines.values():
            if machine.claims and machine.epoch == self.term.epoch and self._restless(machine):
                self._to_push.add(machine.host)
            elif machine.up_at is not None and self._doubtful(machine, now):
                self._to_push.add(machine.host)  # to learn whether it hears us, and is only looking for us
        if self.term.may_start(now) and now - self._planned_at >= PLAN_EVERY * self.report_s:
            self._planned_at = now
            try:
                doomed += self._plan(now)
            except Exception:
                # A plan only reads the tables. Running without one for a while beats ending a leader over it.
                log.exception("epoch %d: no plan", self.term.epoch)
        due = [host for host in doomed if host not in self._deleting][:DELETE_MOST]
        if due and self.term.may_start(now):
            self._deleting.update(due)
            self.nursery.start_soon(self._delete, due)

    def _plan(self, now: float) -> list[str]:
        """Rent and return; answers what is to be deleted."""
        returned = self.planner.returns(now)
        for machine in returned:
            log.info("machine %s: idle, returned", machine.host)
            machine.deleting = True
            self.desk.queues.withdraw(machine)
        if not self._renting:
            for rental in self.planner.rentals(now):
                self._rent(rental)
        return [machine.host for machine in returned]

    def _doubtful(self, machine: Machine, now: float) -> bool:
        """Whether it is overdue or does not seem to hear us."""
        return machine.deaf_since is not None or machine.silent_for(now, self.desk.term_from) > OVERDUE * self.report_s

    @staticmethod
    def _restless(machine: Machine) -> bool:
        """Whether a stop has not been told yet."""
        return any(claim.stopping is not None and claim.stop_at == -math.inf for claim in machine.claims.values())

    def _rent(self, rental: Rental) -> None:
        """Ask for machines, in as many hires as the cloud's bound on one makes it."""
        for first in range(0, rental.count, RENT_MOST):
            self._hires += 1
            # No other leader has this epoch, so no other hire can ever have this name; the epoch's record came first.
            name = f"lf-{self.term.epoch}-{self._hires}"
            self._renting[name] = rental.offer
            count = min(RENT_MOST, rental.count - first)
            self.nursery.start_soon(self._renter, name, Rental(rental.offer, count))

    # -- helpers -----------------------------------------------------------------------------------------------

    async def _feed(self, changes: trio.MemoryReceiveChannel[list[Change]]) -> None:
        async for batch in changes:
            await self.send.send(Changed(batch))

    async def _timer(self) -> None:
        while True:
            await trio.sleep(TICK * self.report_s)
            await self.send.send(Tick())

    async def _writer(self) -> None:
        pause = self.report_s / 10
        async for txn in self._txn_inbox:
            stamps: dict[str, int] = {}
            outcome: Outcome | None = None
            while True:
                await self.client.leader_calls.take()
                await self.client.leader_writes.take(txn.ops)
                try:
                    outcome = await self.client.commit(txn.guards, txn.puts, txn.deletes, self.report_s)
                    for key in outcome.failed or []:
                        if key != EPOCH:
                            stamps[key] = await self.client.stamp(key, self.report_s)
                    break
                except Refused as error:
                    log.error("epoch %d: a write is refused for good: %s", self.term.epoch, error)
                    await trio.sleep(pause)
                    break
                except Unavailable as error:
                    log.debug("epoch %d: a write waits: %s", self.term.epoch, error)
                    await trio.sleep(pause)
            await self.send.send(Committed(txn, outcome, stamps))
            # The next one is put together only when it can go out, so that it holds all that has gathered.
            await self.client.leader_writes.ready(self._begin_with)
            await self.send.send(Ready())

    async def _courier(self, machine: Machine, tenure: int, orders: list[dict[str, Any]]) -> None:
        host = machine.host
        attempts = [order["try"] for order in orders if order["verb"] == "launch"]
        executed, report = False, None
        client = self._clients.pop(host, None)
        try:
            client = client or Client(*address(machine.endpoint), keep=1)
            self._clients[host] = client
            body = {"epoch": self.term.epoch, "tenure": tenure, "orders": orders}
            status, data = await client.call("POST", "/orders", body, PUSH_S * self.report_s)
            executed = status == 200
            if status in (200, 409):
                report = parse_report(data)
        except (NoAnswer, ValueError) as error:
            log.debug("machine %s: no answer to orders: %s", host, error)
            self._clients.pop(host, None)
        if client is not None and client is not self._clients.get(host):
            await client.drop()
        while len(self._clients) > self._keep:
            # Sockets are for workers and users first: the connections used last are kept, the others made again.
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).drop()
        await self.send.send(Pushed(host, attempts, executed, report))

    async def _lister(self) -> None:
        pause = max(LIST_EVERY * self.settings.cluster.cloud.list_lag_s, self.report_s)
        while True:
            try:
                await self.send.send(Seen(await self.cloud.list()))
            except CloudTrouble as error:
                log.debug("list: %s", error)
            await trio.sleep(pause)

    async def _typer(self) -> None:
        """Keep the types (and prices) in the state service, so that a cloud outage doesn't stop intake."""
        while True:
            try:
                most = self.settings.cluster.state.value_kb * 1024 * FULL
                kinds = types_record(await self.cloud.types(), most)
                if parse_types(kinds) and kinds != self.view.get(TYPES):
                    await self.client.leader_writes.take()
                    # A copy of this that is carried out late must not bring older types back.
                    guards = {EPOCH: self.term.stamp, TYPES: self.view.stamp(TYPES)}
                    await self.client.commit(guards, {TYPES: kinds}, [], self.report_s)
                await trio.sleep(TYPES_EVERY * self.report_s)
            except (CloudTrouble, Unavailable) as error:
                log.info("machine types: %s", error)
                await trio.sleep(self.report_s)

    async def _renter(self, name: str, rental: Rental) -> None:
        kind, zone, spot = rental.offer
        count = rental.count
        hosts: list[str] = []
        refused = False
        while True:
            try:
                hosts = await self.cloud.rent(name, kind, zone, spot, count, self._may_start)
                refused = len(hosts) < count
                log.info("hire %s: %d of %d %s in %s, spot %s: %s", name, len(hosts), count, kind, zone, spot, hosts)
                break
            except NoCapacity:
                log.info("hire %s: no %s in %s, spot %s", name, kind, zone, spot)
                refused = True
                break
            except CloudTrouble as error:
                log.info("hire %s: %s", name, error)
                await trio.sleep(self.report_s / 2)
        await self.send.send(Rented(name, rental.offer, hosts, refused))

    def _may_start(self) -> bool:
        """The right to act, as of now."""
        return self.term.may_start(trio.current_time())

    async def _delete(self, hosts: list[str]) -> None:
        try:
            await self.cloud.delete(hosts, self._may_start)
            sure = True
        except CloudTrouble as error:
            log.info("delete %s: %s", hosts, error)
            sure = False
            await trio.sleep(self.report_s / 2)
        await self.send.send(Deleted(hosts, sure))
