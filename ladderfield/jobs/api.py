"""The jobs API, which every controller serves: routes users' requests and bounds how many are under way.

Nothing is answered from memory alone unless it is final. An accepted or cancelled job is in the state service
before its user hears of it, and any answer that could have been overtaken (a 404 too) first proves that the view
holds everything decided up to the moment of the question. So no two controllers can contradict each other.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from ladderfield.http import Reply, Request
from ladderfield.jobs.cancel import CancellationHandler
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.responses import busy, wrong_method
from ladderfield.jobs.submission import SubmissionHandler
from ladderfield.peers import PeerLink
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.view import View

JOBS_PATH = "/api/jobs"
READY_PATH = "/ready"
REQUESTS_SHARE = 1 / 16  # of the sockets: users' requests under way
REQUESTS_LEAST = 4
Argument = TypeVar("Argument")


class JobsApi:
    """Answers users on this controller."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        rollout: Rollout,
        cancellations: Cancellations,
        links: Mapping[str, PeerLink] | None = None,
    ) -> None:
        self.links = links or {}
        self.state_ok = True  # whether the state service serves us; kept by the controller's health check
        self.lookup = JobLookup(view, dependencies)
        self.submissions = SubmissionHandler(settings, client, view, dependencies, rollout, self.lookup)
        self.cancellations = CancellationHandler(client, view, dependencies, self.lookup, cancellations)
        # Requests over this number are told at once to come back.
        self.most_requests = max(REQUESTS_LEAST, int(settings.cluster.quota.max_connections * REQUESTS_SHARE))
        self.requests = 0

    async def __call__(self, request: Request) -> Reply | None:
        """The answer, or None if the path is not a user's."""
        path, method = request.path.partition("?")[0], request.method
        if path == READY_PATH:
            return self._ready() if method == "GET" else wrong_method()
        if path == JOBS_PATH:
            return await self._bounded(self.submissions.submit, request.body) if method == "POST" else wrong_method()
        if not path.startswith(JOBS_PATH + "/"):
            return None
        uid, slash, verb = path.removeprefix(JOBS_PATH + "/").partition("/")
        if not slash:
            return await self._bounded(self.lookup.poll, uid) if method == "GET" else wrong_method()
        if verb == "cancel":
            return await self._bounded(self.cancellations.cancel, uid) if method == "POST" else wrong_method()
        return None

    def _ready(self) -> Reply:
        """The answer to the load balancer."""
        return busy(1) if self._alone() else Reply(200, {})

    def _alone(self) -> bool:
        """Whether users should go elsewhere.

        The state service turns us away while it serves another controller, or we reach neither it nor any other.

        In an outage for all, staying ready costs nothing, whereas each removal makes the load balancer pause longer
        before it comes back. A controller that has just started and has no view yet is in the same place.
        """
        links = self.links.values()
        cut_off = bool(links) and not any(link.reachable for link in links)
        return not self.state_ok and (cut_off or any(link.state_ok for link in links))

    async def _bounded(self, handler: Callable[[Argument], Awaitable[Reply]], argument: Argument) -> Reply:
        """The handler's answer, unless too many requests are under way."""
        if self.requests >= self.most_requests:
            return busy(1)
        self.requests += 1
        try:
            return await handler(argument)
        finally:
            self.requests -= 1
