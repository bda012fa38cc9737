"""The jobs API, which every controller serves: routes user requests and limits how many are processed concurrently.

Only final states are answered from memory alone. An accepted or cancelled job is written to the state service before
its user gets the reply. Any answer that may be outdated (a 404 included) is given only after the view is shown to hold
everything decided up to the arrival of the request. So two controllers can't contradict each other.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.fleet.catalog_keeper import CatalogReader
from ladderfield.http import Reply, Request
from ladderfield.jobs.cancel import CancellationHandler
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.responses import method_not_allowed, unavailable
from ladderfield.jobs.submission import SubmissionHandler
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.view import View

JOBS_PATH = "/api/jobs"
READY_PATH = "/ready"
CONCURRENT_REQUESTS_SHARE = 1 / 16  # of the connection limit (max_connections)
MIN_CONCURRENT_REQUESTS = 4
Argument = TypeVar("Argument")


class JobsApi:
    """Handles user requests on this controller."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        rollout: Rollout,
        catalog_reader: CatalogReader,
        cancellations: Cancellations,
        authority: Callable[[], Authority] = Authority,
    ) -> None:
        self.authority = authority
        self.lookup = JobLookup(view, dependencies)
        self.submissions = SubmissionHandler(settings, client, view, dependencies, rollout, self.lookup, catalog_reader)
        self.cancellations = CancellationHandler(client, view, dependencies, self.lookup, cancellations)
        # Requests above this number are rejected at once with Retry-After.
        self.max_requests = max(
            MIN_CONCURRENT_REQUESTS, int(settings.cluster.quota.max_connections * CONCURRENT_REQUESTS_SHARE)
        )
        self.requests = 0

    async def __call__(self, request: Request) -> Reply | None:
        """The reply, or None if the path does not belong to the jobs API."""
        path, method = request.path.partition("?")[0], request.method
        if path == READY_PATH:
            return self._ready() if method == "GET" else method_not_allowed()
        if path == JOBS_PATH:
            return (
                await self._limit_concurrency(self.submissions.submit, request.body)
                if method == "POST"
                else method_not_allowed()
            )
        if not path.startswith(JOBS_PATH + "/"):
            return None
        uid, slash, verb = path.removeprefix(JOBS_PATH + "/").partition("/")
        if not slash:
            return await self._limit_concurrency(self.lookup.poll, uid) if method == "GET" else method_not_allowed()
        if verb == "cancel":
            return (
                await self._limit_concurrency(self.cancellations.cancel, uid)
                if method == "POST"
                else method_not_allowed()
            )
        return None

    def _ready(self) -> Reply:
        """The reply to the load balancer's readiness check."""
        serves_users = self.authority().allows(Decision.SERVE_USERS, trio.current_time())
        return Reply(200, {}) if serves_users else unavailable(1)

    async def _limit_concurrency(self, handler: Callable[[Argument], Awaitable[Reply]], argument: Argument) -> Reply:
        """Calls the handler, or rejects the request if too many are being processed."""
        if self.requests >= self.max_requests:
            return unavailable(1)
        self.requests += 1
        try:
            return await handler(argument)
        finally:
            self.requests -= 1
