"""The controller process: builds its components, wires them together and runs them until it is killed."""

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
from ladderfield.fleet.catalog_keeper import CatalogKeeper, CatalogReader
from ladderfield.fleet.cloud import Cloud
from ladderfield.http import Reply, Request, Server
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
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
from ladderfield.state import StateClient
from ladderfield.table_sizes import max_table_entries
from ladderfield.term import Term
from ladderfield.view import View
from ladderfield.workers.report_handler import ReportHandler
from ladderfield.zones.options import ZoneOptions

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 60.0  # of a keep-alive connection
USER_CONNECTIONS_SHARE = 0.7  # of all sockets; the rest is for outgoing calls and the other controllers


class Controller:
    """All components of one process."""

    def __init__(
        self, settings: Settings, zone_options: ZoneOptions | None = None, reach_options: ReachOptions | None = None
    ) -> None:
        self.settings, self.zone_options = settings, zone_options
        self.client = StateClient(settings)
        self.view = View(self.client, settings)
        self.cloud = Cloud(settings)
        workers = settings.cluster.workers
        self.reachability = Reachability(workers.report_s, workers.lease_s, max_table_entries(settings))
        self.client.observe = lambda side, exchange: self.reachability.note(side, exchange, trio.current_time())
        self.cloud.observe = lambda exchange: self.reachability.note(LinkKind.CLOUD, exchange, trio.current_time())
        self.succession = None if reach_options is None else Succession(reach_options, workers.report_s)
        self.leadership = Leadership(
            settings, self.client, self.view, self.reachability.status, self._should_serve_users, self._election_delay
        )
        max_calls = max(4, max_back_connections(settings.cluster.quota.max_connections) // max(1, len(settings.peers)))
        self.links = {peer.member: PeerLink(peer, max_calls) for peer in settings.peers}
        self.dependencies = DependencyGraph(self.view.get)
        self.cancellations = Cancellations(max_table_entries(settings))
        self.view.listeners += [self.dependencies.apply_change, self.cancellations.apply_change]
        self.rollout = Rollout(settings, self.client, self.view)
        catalog_reader = CatalogReader(self.view)
        self.catalog_keeper = CatalogKeeper(settings, self.cloud, self.client, self.view, catalog_reader)
        self.jobs_api = JobsApi(
            settings, self.client, self.view, self.dependencies, self.rollout, catalog_reader, self.cancellations,
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

    def _should_serve_users(self) -> bool:
        """Whether users should be sent here, given what every other controller last reported."""
        peers = (PeerStatus(link.reachable, link.state_ok) for link in self.links.values())
        return serves_users(self.reachability.state_ok, peers)

    def _election_delay(self, vacant_since: float) -> float:
        """Seconds for which this candidate still waits so that others are elected first."""
        if self.succession is None:
            return 0.0
        now = trio.current_time()
        return self.succession.remaining_candidacy_delay_s(
            self.reachability.total(now), self.reachability.cut, vacant_since, now
        )

    async def handle(self, request: Request) -> Reply:
        """Answer a request to the ``bind`` address."""
        reply = await self.reports(request)
        if reply is None:
            reply = await self.jobs_api(request)
        return reply or Reply(404, {"error": "no such path"})

    async def handle_back(self, kind: int, status: int, body: bytes) -> tuple[int, bytes]:
        """Answer a frame that another controller sent to the ``back`` address."""
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
        """Check the state service and the other controllers at a fixed interval."""
        interval_s = self.settings.cluster.workers.report_s / 2
        while True:
            term = self.leadership.term
            async with trio.open_nursery() as nursery:
                for link in self.links.values():
                    nursery.start_soon(link.check, interval_s)
                nursery.start_soon(self.reach_exchange.ask_all, interval_s)
                self.reachability.state_ok = await self.view.fresh(interval_s)
            for link in self.links.values():
                self.leadership.learn_leader(*link.latest_known)
            if self.zone_options is not None:
                self.reports.send_to_leader(ControllersChecked(self._reachable_zones()))
            if term is not None and not term.over.is_set():
                if self.reachability.state_ok:
                    term.note_known(self.view.proven_at)
                else:
                    self.reports.send_to_leader(
                        CancellationsLearned(*await self.cancellation_sync.ask(term, interval_s))
                    )
            if (
                term is not None
                and term is self.leadership.term
                and not any(link.may_lead for link in self.links.values())
            ):
                # All were asked after this term began, so no earlier leader remains that could extend worker leases.
                self.reports.send_to_leader(NoOtherLeader())
            self._observe_reach(trio.current_time())
            await trio.sleep(interval_s)

    def _observe_reach(self, now: float) -> None:
        """Update the state of the links, and log the decisions that it allows or denies."""
        for member, link in self.links.items():
            self.reachability.note(
                LinkKind.PEER_OUT, Exchange.ANSWERED if link.reachable else Exchange.LOST, now, member
            )
        if not self.reachability.workers.is_leader:  # a leader does this with each of its ticks
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
        """Run the leader for each term that this controller wins."""
        async for term in terms:
            try:
                leader = Leader(
                    self.settings, term, self.client, self.view, self.cloud, self.dependencies, self.zone_options,
                    self.reachability,
                )  # fmt: skip
                leader.authority_log = self.authority_log
                leader.resignation = self._resignation(term, leader)
                await leader.run(self._set_inbox)
            except Exception:
                log.exception("epoch %d: unhandled exception in the leader", term.epoch)
                self._set_inbox(None)
                term.end("unhandled exception")

    def _resignation(self, term: Term, leader: Leader) -> Resignation | None:
        """The component that makes a leader resign; None unless leadership by reach is on."""
        if self.succession is None:
            return None
        return Resignation(
            term, self.settings.member, self.succession, self.reachability, self.rollout, leader.writer, self.client,
            self.view,
        )  # fmt: skip

    def _set_inbox(self, inbox: trio.MemorySendChannel | None) -> None:
        self.reports.inbox = inbox
        if inbox is None:
            self.reachability.workers.set_leader_counts(None)

    async def run(self) -> None:
        """Run all actors; the listeners are started by ``serve``."""
        send, receive = trio.open_memory_channel[Term](1)
        async with trio.open_nursery() as nursery:
            for actor in (
                self.view.run,
                self.view.run_reads,
                self.jobs_api.submissions.acceptor.run,
                partial(self.leadership.run, send),
                partial(self.run_terms, receive),
                self.rollout.run,
                self.catalog_keeper.run,
                self.run_health,
                self.prober.run,
                partial(self.cancellation_sync.run_notices, self.settings.cluster.workers.report_s / 2),
            ):
                nursery.start_soon(self._supervise, actor)

    async def _supervise(self, actor: Callable[[], Awaitable[None]]) -> None:
        """Run an actor, and restart it after a pause whenever it returns or raises.

        An exception must neither end the process nor, which is worse, leave the actor stopped: a controller that looks
        healthy but no longer follows the state service would never answer again.
        """
        while True:
            try:
                await actor()
            except Exception:
                log.exception("unhandled exception in an actor; restarting it")
            await trio.sleep(self.settings.cluster.workers.report_s / 4)


async def _listen(endpoint: str, serve: Callable[[trio.abc.Stream], Awaitable[None]], backlog: int) -> None:
    host, port = address(endpoint)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=backlog)
    await trio.serve_listeners(serve, listeners)


async def serve(
    settings: Settings, zone_options: ZoneOptions | None = None, reach_options: ReachOptions | None = None
) -> None:
    """Run one controller and its two listeners."""
    controller = Controller(settings, zone_options, reach_options)
    max_connections = settings.cluster.quota.max_connections
    front = Server(controller.handle, int(max_connections * USER_CONNECTIONS_SHARE), SUBMIT_TIMEOUT_S, IDLE_TIMEOUT_S)
    back = BackServer(controller.handle_back, max_back_connections(max_connections), IDLE_TIMEOUT_S, SUBMIT_TIMEOUT_S)
    log.info("controller %s started, zone %s", settings.member, settings.location or "not set")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_listen, settings.bind, front, max_connections)
        nursery.start_soon(_listen, settings.back, back, max_connections)
        nursery.start_soon(controller.run)
