"""One controller: puts the slices together and runs them for as long as the process lives."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from ladderfield.cancellation_sync import CancellationSync, MalformedAnswerError, parse_uids
from ladderfield.connectivity.authority_log import AuthorityLog
from ladderfield.connectivity.exchange import ReachExchange
from ladderfield.connectivity.links import Exchange
from ladderfield.connectivity.options import ReachOptions
from ladderfield.connectivity.prober import WorkerProber
from ladderfield.connectivity.reachability import LinkKind, PeerStatus, Reachability, serves_users
from ladderfield.connectivity.succession import Succession
from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.http import Reply, Request, Server
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import MAX_RECORD_SHARE, TYPES_KEY, parse_types, types_record
from ladderfield.jobs.responses import SUBMIT_TIMEOUT_S
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import CancellationsLearned, ControllersChecked, NoOtherLeader
from ladderfield.leader.resignation import Resignation
from ladderfield.leadership import Leadership
from ladderfield.peers import (
    CANCELLATION_NOTICE,
    CANCELLATION_QUERY,
    HEALTH,
    HEALTH_BODY,
    REACH,
    RELAY,
    BackServer,
    PeerLink,
    max_back_connections,
)
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings, address
from ladderfield.state import StateClient, StateServiceError
from ladderfield.table_sizes import most_entries
from ladderfield.term import Term
from ladderfield.view import View
from ladderfield.workers.report_handler import ReportHandler
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)

IDLE_S = 60.0  # a kept connection may be silent for so long
USERS_SHARE = 0.7  # of the sockets; the rest is for our own calls and the other controllers


class Controller:
    """All slices of one process."""

    def __init__(
        self, settings: Settings, zone_options: ZoneOptions | None = None, reach_options: ReachOptions | None = None
    ) -> None:
        self.settings, self.zone_options = settings, zone_options
        self.client = StateClient(settings)
        self.view = View(self.client, settings)
        self.cloud = Cloud(settings)
        workers = settings.cluster.workers
        self.reachability = Reachability(workers.report_s, workers.lease_s, most_entries(settings))
        self.client.observe = lambda side, exchange: self.reachability.note(side, exchange, trio.current_time())
        self.cloud.observe = lambda exchange: self.reachability.note(LinkKind.CLOUD, exchange, trio.current_time())
        self.succession = None if reach_options is None else Succession(reach_options, workers.report_s)
        self.leadership = Leadership(
            settings, self.client, self.view, self.reachability.status, self._takes_users, self._stand_back_for
        )
        at_once = max(4, max_back_connections(settings.cluster.quota.max_connections) // max(1, len(settings.peers)))
        self.links = {peer.member: PeerLink(peer, at_once) for peer in settings.peers}
        self.dependencies = DependencyGraph(self.view.get)
        self.cancellations = Cancellations(most_entries(settings))
        self.view.listeners += [self.dependencies.apply_change, self.cancellations.apply_change]
        self.rollout = Rollout(settings, self.client, self.view)
        self.jobs_api = JobsApi(
            settings, self.client, self.view, self.dependencies, self.rollout, self.cancellations,
            self.leadership.authority,
        )  # fmt: skip
        self.reports = ReportHandler(settings, self.leadership, self.links)
        self.cancellation_sync = CancellationSync(self.leadership, self.view, self.cancellations, self.links)
        self.reach_exchange = ReachExchange(
            settings, self.leadership, self.view, self.reachability, self.links, self.succession
        )
        self.prober = WorkerProber(settings, self.view, self.reachability, reach_options is not None)
        self.reports.on_leader_unreachable = lambda zone, host: self.reachability.workers.note_report(
            zone, host, trio.current_time()
        )
        self.authority_log = AuthorityLog()
        self.cancellation_sync.deliver = lambda uids: self.reports.send_to_leader(CancellationsLearned(uids))

    def _takes_users(self) -> bool:
        """Whether users should come here, by the last word of every other controller."""
        peers = (PeerStatus(link.reachable, link.state_ok) for link in self.links.values())
        return serves_users(self.reachability.state_ok, peers)

    def _stand_back_for(self, vacant_since: float) -> float:
        """How many seconds more to let others be elected first."""
        if self.succession is None:
            return 0.0
        now = trio.current_time()
        return self.succession.remaining_candidacy_delay_s(
            self.reachability.total(now), self.reachability.cut, vacant_since, now
        )

    async def handle(self, request: Request) -> Reply:
        """Any request to ``bind``."""
        reply = await self.reports(request)
        if reply is None:
            reply = await self.jobs_api(request)
        return reply or Reply(404, {"error": "no such path"})

    async def handle_back(self, kind: int, status: int, body: bytes) -> tuple[int, bytes]:
        """Any question over ``back``."""
        if kind == RELAY:
            return await self.reports.handle_relayed(body, status)
        if kind == HEALTH:
            leads = self.leadership.term is not None or self.reports.inbox is not None
            epoch, leader = self.leadership.latest_known()
            return (200 if self.reachability.state_ok else 503), HEALTH_BODY.pack(leads, epoch) + leader.encode()
        if kind == CANCELLATION_QUERY:
            return self.cancellation_sync.answer(body)
        if kind == CANCELLATION_NOTICE:
            try:
                self.reports.send_to_leader(CancellationsLearned(parse_uids(body)))
            except MalformedAnswerError:
                return 400, b""
            return 200, b""
        if kind == REACH:
            return self.reach_exchange.answer(body)
        return 400, b""

    async def run_health(self) -> None:
        """Know whether the state service serves us, and how the others are."""
        pause = self.settings.cluster.workers.report_s / 2
        while True:
            term = self.leadership.term
            async with trio.open_nursery() as nursery:
                for link in self.links.values():
                    nursery.start_soon(link.check, pause)
                nursery.start_soon(self.reach_exchange.ask_all, pause)
                self.reachability.state_ok = await self.view.fresh(pause)
            for link in self.links.values():
                self.leadership.learn_leader(*link.latest_known)
            if self.zone_options is not None:
                self.reports.send_to_leader(ControllersChecked(self._reachable_zones()))
            if term is not None and not term.over.is_set():
                if self.reachability.state_ok:
                    term.note_known(self.view.proven_at)
                else:
                    self.reports.send_to_leader(CancellationsLearned(*await self.cancellation_sync.ask(term, pause)))
            if (
                term is not None
                and term is self.leadership.term
                and not any(link.may_lead for link in self.links.values())
            ):
                # All were asked after our term began, so no earlier leader is left to keep leases alive.
                self.reports.send_to_leader(NoOtherLeader())
            self._observe_reach(trio.current_time())
            await trio.sleep(pause)

    def _observe_reach(self, now: float) -> None:
        """Judge which links work, and say on the log what follows from it."""
        for member, link in self.links.items():
            self.reachability.note(
                LinkKind.PEER_OUT, Exchange.ANSWERED if link.reachable else Exchange.LOST, now, member
            )
        if not self.reachability.workers.is_leader:  # a leader looks with each tick
            self.reachability.judge_workers(now, self.settings.cluster.workers.report_s / 2)
            self.authority_log.observe(self.leadership.authority(), now)

    def _reachable_zones(self) -> dict[str, bool]:
        """Whether any controller of each zone answered when it was last asked."""
        reachable = {self.settings.location: True}
        for link in self.links.values():
            zone = link.peer.location
            reachable[zone] = reachable.get(zone, False) or link.reachable
        return reachable

    async def run_terms(self, terms: trio.MemoryReceiveChannel[Term]) -> None:
        """Be leader whenever this controller is elected."""
        async for term in terms:
            try:
                leader = Leader(
                    self.settings, term, self.client, self.view, self.cloud, self.dependencies, self.zone_options,
                    self.reachability,
                )  # fmt: skip
                leader.authority_log = self.authority_log
                leader.resignation = self._resignation(term, leader)
                await leader.run(self._announce)
            except Exception:
                log.exception("epoch %d: the leader failed", term.epoch)
                self._announce(None)
                term.end("of an error")

    def _resignation(self, term: Term, leader: Leader) -> Resignation | None:
        """What makes a leader resign, if leadership goes by reach."""
        if self.succession is None:
            return None
        return Resignation(
            term, self.settings.member, self.succession, self.reachability, self.rollout, leader.writer, self.client,
            self.view,
        )  # fmt: skip

    def _announce(self, inbox: trio.MemorySendChannel | None) -> None:
        self.reports.inbox = inbox
        if inbox is None:
            self.reachability.workers.set_leader_counts(None)

    async def run_types(self) -> None:
        """Put the machine types on record if nobody has yet: without them no job can be judged."""
        pause = self.settings.cluster.workers.report_s
        while True:
            if self.view.synced and self.view.get(TYPES_KEY) is None:
                try:
                    await self.cloud.idle_budget.take()
                    kinds = types_record(
                        await self.cloud.types(), self.settings.cluster.state.value_kb * 1024 * MAX_RECORD_SHARE
                    )
                    if parse_types(kinds):
                        await self.client.writes.take()
                        await self.client.commit({TYPES_KEY: 0}, {TYPES_KEY: kinds}, [], pause)
                except (CloudError, StateServiceError) as error:
                    log.info("machine types: %s", error)
            await trio.sleep(pause / 4 if self.view.get(TYPES_KEY) is None else pause)

    async def run(self) -> None:
        """Everything but the listeners."""
        send, receive = trio.open_memory_channel[Term](1)
        async with trio.open_nursery() as nursery:
            for actor in (
                self.view.run,
                self.view.run_reads,
                self.jobs_api.submissions.acceptor.run,
                partial(self.leadership.run, send),
                partial(self.run_terms, receive),
                self.rollout.run,
                self.run_types,
                self.run_health,
                self.prober.run,
                partial(self.cancellation_sync.run_notices, self.settings.cluster.workers.report_s / 2),
            ):
                nursery.start_soon(self._keep, actor)

    async def _keep(self, actor: Callable[[], Awaitable[None]]) -> None:
        """Run an actor for ever.

        A mistake in one is told and costs a pause, not the process, nor (worse) the actor: a controller that looks well
        but no longer follows the state service would never answer again.
        """
        while True:
            try:
                await actor()
            except Exception:
                log.exception("an actor failed and is begun again")
            await trio.sleep(self.settings.cluster.workers.report_s / 4)


async def _listen(text: str, serve: Callable[[trio.abc.Stream], Awaitable[None]], most: int) -> None:
    host, port = address(text)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=most)
    await trio.serve_listeners(serve, listeners)


async def serve(
    settings: Settings, zone_options: ZoneOptions | None = None, reach_options: ReachOptions | None = None
) -> None:
    """Run the controller."""
    controller = Controller(settings, zone_options, reach_options)
    most = settings.cluster.quota.max_connections
    front = Server(controller.handle, int(most * USERS_SHARE), SUBMIT_TIMEOUT_S, IDLE_S)
    back = BackServer(controller.handle_back, max_back_connections(most), IDLE_S, SUBMIT_TIMEOUT_S)
    log.info("controller %s starts in %s", settings.member, settings.location or "no zone")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_listen, settings.bind, front, most)
        nursery.start_soon(_listen, settings.back, back, most)
        nursery.start_soon(controller.run)
