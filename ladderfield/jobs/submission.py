"""Submission: validates jobs, writes accepted ones to the state service and confirms them."""

from __future__ import annotations

import logging
import time

import msgspec
import trio

from ladderfield.fleet.catalog_keeper import CatalogReader
from ladderfield.http import Reply
from ladderfield.jobs.accept import Acceptor, record_size
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.descriptions import Description, describe
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.model import (
    CANCELLED,
    FINAL_PREFIX,
    JOB_PREFIX,
    JobSpec,
    MalformedJobError,
    block_size,
    fits_any,
    infeasible_reason,
    over_limit_reason,
    parse_job,
)
from ladderfield.jobs.responses import SUBMIT_TIMEOUT_S, USABLE_SHARE, unavailable
from ladderfield.record_writer import RecordWriter
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings
from ladderfield.state import StateClient, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)


class SubmissionHandler:
    """Handles submission requests."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        rollout: Rollout,
        lookup: JobLookup,
        catalog_reader: CatalogReader,
    ) -> None:
        self.view, self.dependencies, self.rollout, self.lookup = view, dependencies, rollout, lookup
        self.catalog_reader = catalog_reader
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.block_tasks = block_size(settings.cluster.state.value_kb)
        self.max_record_bytes = settings.cluster.state.max_record_bytes
        self.records = RecordWriter(settings, client, view, client.writes, client.calls)
        self.acceptor = Acceptor(settings, client, view, dependencies, SUBMIT_TIMEOUT_S)

    async def submit(self, body: bytes) -> Reply:
        """The reply to a submission."""
        try:
            spec = parse_job(body)
        except MalformedJobError as error:
            return Reply(400, {"error": str(error)})
        if not self.view.synced:
            return unavailable(1)
        if (final := self.lookup.final(spec.uid)) is not None:
            return final
        if (known_or_refused := await self._known_or_refused(spec)) is not None:
            return known_or_refused
        if spec.needs and not self.rollout.supports_dependencies:
            return unavailable(2)  # a leader of an older version would start its tasks too early
        return await self._record(spec)

    async def _known_or_refused(self, spec: JobSpec) -> Reply | None:
        """The reply for a job that is already known or has to be refused; None if it can be written."""
        if spec.uid not in self.dependencies and self._is_feasible(spec):
            return None
        # Both a known job and a refusal require an up-to-date view. Another controller may have accepted the job
        # meanwhile, and an accepted job is never refused.
        if not await self.view.fresh(SUBMIT_TIMEOUT_S * USABLE_SHARE):
            return unavailable(1)
        known = self.lookup.state(spec.uid)
        if known is not None:
            return known
        if self._is_feasible(spec):
            return None
        reason = self._refusal(spec)
        if reason is None or not self.view.complete:
            return unavailable(2)  # not decided yet: the job may fit a type, or be on a record, that can't be read
        return Reply(422, {"error": reason})

    def _is_feasible(self, spec: JobSpec) -> bool:
        """Whether nothing in the view is against the job, and it fits a machine type that is known."""
        catalog = self.catalog_reader.catalog()
        return self._refusal(spec) is None and (catalog.whole or fits_any(spec, catalog.types.values()))

    def _refusal(self, spec: JobSpec) -> str | None:
        """Returns why the job can certainly never run, as far as the view shows, or None."""
        catalog = self.catalog_reader.catalog()
        if catalog.whole:
            infeasible = infeasible_reason(spec, catalog.types.values(), self.teams)
        else:
            infeasible = over_limit_reason(spec, self.teams)
        return infeasible or self._unsatisfiable_needs(spec)

    def _unsatisfiable_needs(self, spec: JobSpec) -> str | None:
        """Returns why the needed jobs can never all be done, as far as the view shows; None if they can."""
        needs = spec.needs or ()
        unknown = self.dependencies.first_unknown(needs)
        if unknown is not None:
            return f"{unknown}, which it waits for, was never accepted"
        active_service = next((uid for uid in needs if self.dependencies.is_active_service(uid)), None)
        return None if active_service is None else f"{active_service}, which it waits for, is a service"

    async def _record(self, spec: JobSpec) -> Reply:
        """Writes the job and replies once it is written."""
        deadline = trio.current_time() + SUBMIT_TIMEOUT_S * USABLE_SHARE
        joined_write = self.acceptor.write_started(spec.uid)
        record = {"spec": msgspec.to_builtins(spec), "at": round(time.time(), 3), "block": self.block_tasks}
        guards: dict[str, int] = {}
        if record_size(spec.uid, record) > self.acceptor.max_bytes:
            description = describe(spec, self.max_record_bytes)
            if not await self._write_description(spec.uid, description, deadline):
                return await self._known_reply(spec.uid, deadline)
            record = {**record, "description": msgspec.to_builtins(description.reference)}
            del record["spec"]
            # Once it is on record that the job has this description, nobody deletes its parts.
            guards = {description.first_key: self.view.revision_of(description.first_key)}
        submission = await self.acceptor.accept(spec.uid, record, deadline, guards)
        if joined_write and submission.known_revision is not None:
            # The write was started before this request arrived. Until its answer came, another controller may have
            # read the job, cancelled it and confirmed the cancellation.
            return await self._known_reply(spec.uid, deadline)
        if submission.known_revision == 0:
            log.info(
                "job %s: accepted: class %s, team %s, %d tasks, estimate %.0f s, deadline_s %s",
                spec.uid, spec.job_class, spec.team, spec.tasks, spec.estimate_s, spec.deadline_s,
            )  # fmt: skip
            return await self._acceptance_reply(spec, submission.written_revision, deadline)
        if submission.known_revision:
            with trio.move_on_at(deadline):
                await self.view.wait_for_revision(submission.known_revision)
                return self.lookup.state(spec.uid) or unavailable(1)
        return unavailable(1)

    async def _known_reply(self, uid: str, deadline: float) -> Reply:
        """The reply for a job that may be known by now: its state if the view is proven fresh in time, else 503."""
        fresh = await self.view.fresh(max(0.0, deadline - trio.current_time()))
        return (self.lookup.state(uid) if fresh else None) or unavailable(1)

    async def _write_description(self, uid: str, description: Description, deadline: float) -> bool:
        """Write the parts of a description; False if that is not done in time, or the job is known by now.

        What is written stays, so that the user's next try goes on from there, at whichever controller.
        """
        if not self.rollout.supports_large_descriptions:
            return False  # a leader of an older version can't read it
        unaccepted = {JOB_PREFIX + uid: 0, FINAL_PREFIX + uid: 0}
        with trio.move_on_at(deadline):
            try:
                return await self.records.write(description.parts, unaccepted)
            except WriteRefusedError as error:
                log.error("job %s: the state service refused a part of its description: %s", uid, error)
        return False

    async def _acceptance_reply(self, spec: JobSpec, written_revision: int, deadline: float) -> Reply:
        """The reply for a job that this controller has written."""
        phase = "queued"
        if spec.needs:
            # Another controller may have written the job too and reported it as cancelled with a job that it needs.
            # In that case it need not have a final record yet, so the guard did not stop our write. So the view has to
            # reach our write first.
            with trio.move_on_at(deadline) as scope:
                await self.view.wait_for_revision(written_revision)
            if scope.cancelled_caught:
                return unavailable(1)
            phase = CANCELLED if self.dependencies.cancelled(spec.uid) else phase
        return Reply(201, {"uid": spec.uid, "phase": phase})
