"""The jobs API, which every controller serves: routes users' requests and bounds how many are under way.

Nothing is answered from memory alone unless it is final. An accepted or cancelled job is in the state service
before its user hears of it, and any answer that could have been overtaken (a 404 too) first proves that the view
holds everything decided up to the moment of the question. So no two controllers can contradict each other.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.http import Reply, Request
from ladderfield.jobs.cancel import CancellationHandler
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.responses import busy, wrong_method
from ladderfield.jobs.submission import SubmissionHandler
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
        authority: Callable[[], Authority] = Authority,
    ) -> None:
        self.authority = authority
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
        serves = self.authority().allows(Decision.SERVE_USERS, trio.current_time())
        return Reply(200, {}) if serves else busy(1)

    async def _bounded(self, handler: Callable[[Argument], Awaitable[Reply]], argument: Argument) -> Reply:
        """The handler's answer, unless too many requests are under way."""
        if self.requests >= self.most_requests:
            return busy(1)
        self.requests += 1
        try:
            return await handler(argument)
        finally:
            self.requests -= 1
