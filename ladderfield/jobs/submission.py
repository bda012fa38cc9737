"""Submissions: what is refused, and how an accepted job is confirmed."""

from __future__ import annotations

import logging
import time
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply
from ladderfield.jobs.accept import Acceptor, record_size
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.model import (
    CANCELLED,
    TYPES,
    JobSpec,
    MachineType,
    MalformedJobError,
    block_size,
    impossible,
    parse,
    parse_types,
)
from ladderfield.jobs.responses import SUBMIT_S, USABLE_SHARE, busy
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.view import View

log = logging.getLogger(__name__)


class SubmissionHandler:
    """Takes jobs, or says why not."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        rollout: Rollout,
        lookup: JobLookup,
    ) -> None:
        self.view, self.dependencies, self.rollout, self.lookup = view, dependencies, rollout, lookup
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.block = block_size(settings.cluster.state.value_kb)
        self.acceptor = Acceptor(settings, client, view, dependencies, SUBMIT_S)
        self._types: tuple[int, dict[str, MachineType]] = (-1, {})

    async def submit(self, body: bytes) -> Reply:
        """The answer to a submission."""
        try:
            spec = parse(body)
        except MalformedJobError as error:
            return Reply(400, {"error": str(error)})
        if not self.view.synced:
            return busy(1)
        if (final := self.lookup.final(spec.uid)) is not None:
            return final
        record = {"spec": msgspec.to_builtins(spec), "at": round(time.time(), 3), "block": self.block}
        if (known_or_refused := await self._check(spec, record)) is not None:
            return known_or_refused
        if spec.needs and not self.rollout.complete:
            return busy(2)  # an older version would start its tasks too early
        return await self._record(spec, record)

    def types(self) -> dict[str, MachineType]:
        """Machine types as kept in the state service."""
        stamp = self.view.stamp(TYPES)
        if stamp != self._types[0]:
            self._types = (stamp, parse_types(self.view.get(TYPES)))
        return self._types[1]

    async def _check(self, spec: JobSpec, record: dict[str, Any]) -> Reply | None:
        """The answer for a job that is known already or has to be refused; None if it can be put on record."""
        kinds = self.types()
        why = (impossible(spec, kinds, self.teams) if kinds else "unknown types") or self._never_ready(spec)
        too_large = record_size(spec.uid, record) > self.acceptor.most_bytes
        if spec.uid not in self.dependencies and why is None and not too_large:
            return None
        # Known already, or to be refused: both need the proof that nothing newer says otherwise. Another controller,
        # or one with larger limits, may have accepted it, and an accepted job is never refused.
        if not await self.view.fresh(SUBMIT_S * USABLE_SHARE):
            return busy(1)
        known = self.lookup.state(spec.uid)
        if known is not None:
            return known
        if too_large:
            return Reply(400, {"error": "its description is too large to be put on record"})
        if not kinds:
            return busy(2)
        why = impossible(spec, kinds, self.teams) or self._never_ready(spec)
        return None if why is None else Reply(422, {"error": why})

    def _never_ready(self, spec: JobSpec) -> str | None:
        """Why what the job waits for can never be done, as far as the view tells."""
        needs = spec.needs or ()
        unknown = self.dependencies.unknown(needs)
        if unknown is not None:
            return f"{unknown}, which it waits for, was never accepted"
        endless = next((uid for uid in needs if self.dependencies.service(uid)), None)
        return None if endless is None else f"{endless}, which it waits for, is a service"

    async def _record(self, spec: JobSpec, record: dict[str, Any]) -> Reply:
        """Put the job on record, and answer when it is."""
        until = trio.current_time() + SUBMIT_S * USABLE_SHARE
        late = self.acceptor.writing(spec.uid)
        wanted = await self.acceptor.accept(spec.uid, record, until)
        if late and wanted.known_at is not None:
            # The write was begun before this was asked. While its answer was on the way others may have read it, and
            # cancelled the job and said so.
            fresh = await self.view.fresh(max(0.0, until - trio.current_time()))
            return (self.lookup.state(spec.uid) if fresh else None) or busy(1)
        if wanted.known_at == 0:
            log.info(
                "job %s: accepted, %s of %s, %d tasks, expects %.0f s, due %s",
                spec.uid, spec.job_class, spec.team, spec.tasks, spec.estimate_s, spec.deadline_s,
            )  # fmt: skip
            return await self._accepted(spec, wanted.written_at, until)
        if wanted.known_at:
            with trio.move_on_at(until):
                await self.view.reach(wanted.known_at)
                return self.lookup.state(spec.uid) or busy(1)
        return busy(1)

    async def _accepted(self, spec: JobSpec, written_at: int, until: float) -> Reply:
        """The answer for a job that we have put on record."""
        phase = "queued"
        if spec.needs:
            # It may stand on another controller's record as well and have been called cancelled by then, with one that
            # it needs and without a final record of its own, which would have stopped our write. So the view has to
            # hold all that came before.
            with trio.move_on_at(until) as scope:
                await self.view.reach(written_at)
            if scope.cancelled_caught:
                return busy(1)
            phase = CANCELLED if self.dependencies.cancelled(spec.uid) else phase
        return Reply(201, {"uid": spec.uid, "phase": phase})
