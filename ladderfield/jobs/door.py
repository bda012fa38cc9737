"""The front door that every controller is: takes jobs and cancellations, answers polls.

Nothing is answered from memory alone unless it is final. An accepted or cancelled job is in the state service
before its user hears of it, and any answer that could have been overtaken (a 404 too) first proves that the view
holds everything decided up to the moment of the question. So no two controllers can contradict each other.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request
from ladderfield.jobs.accept import Acceptor, record_size
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.chains import Chains
from ladderfield.jobs.model import (
    CANCELLED,
    FINAL,
    TYPES,
    JobSpec,
    Malformed,
    block_size,
    impossible,
    page_key,
    parse,
    parse_types,
    valid_uid,
)
from ladderfield.peers import PeerLink
from ladderfield.rollout import Rollout
from ladderfield.settings import Settings
from ladderfield.state import StateClient, Unavailable
from ladderfield.view import View

log = logging.getLogger(__name__)

POLL_S = 2.0  # the protocol: how long a user waits for a poll's answer
SUBMIT_S = 5.0  # and for the answer to a submission or a cancellation
SPARE = 0.7  # of these is ours to use; the rest is for the network and the client


class Door:
    """Answers users on this controller."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        chains: Chains,
        rollout: Rollout,
        cancellations: Cancellations,
        links: Mapping[str, PeerLink] | None = None,
    ) -> None:
        self.cancellations = cancellations
        self.client, self.view, self.chains, self.rollout, self.links = client, view, chains, rollout, links or {}
        self.state_ok = True  # whether the state service serves us; kept by the controller's health check
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.block = block_size(settings.cluster.state.value_kb)
        # Each stage is small and tells those it can't take at once.
        self.acceptor = Acceptor(settings, client, view, chains, SUBMIT_S)
        self.room = max(4, int(settings.cluster.quota.max_connections / 16))
        self.busy = 0
        self._types: tuple[int, dict] = (-1, {})

    async def __call__(self, request: Request) -> Reply | None:
        """The answer, or None if the path is not a user's."""
        path = request.path.partition("?")[0]
        if path == "/ready":
            if request.method != "GET":
                return Reply(405, {"error": "method"})
            return busy(1) if self._alone() else Reply(200, {})
        if path == "/api/jobs":
            return await self._bounded(self._submit, request.body) if request.method == "POST" else wrong_method()
        if not path.startswith("/api/jobs/"):
            return None
        uid, slash, verb = path.removeprefix("/api/jobs/").partition("/")
        if not slash:
            return await self._bounded(self._poll, uid) if request.method == "GET" else wrong_method()
        if verb == "cancel":
            return await self._bounded(self._cancel, uid) if request.method == "POST" else wrong_method()
        return None

    def _alone(self) -> bool:
        """Whether users should go elsewhere: the state service turns us away while it serves another controller, or
        we reach neither it nor any other.

        In an outage for all, staying ready costs nothing, whereas each removal makes the load balancer pause longer
        before it comes back. A controller that has just started and has no view yet is in the same place.
        """
        links = self.links.values()
        cut_off = bool(links) and not any(link.reachable for link in links)
        return not self.state_ok and (cut_off or any(link.state_ok for link in links))

    async def _bounded(self, stage: Any, argument: Any) -> Reply:
        if self.busy >= self.room:
            return busy(1)
        self.busy += 1
        try:
            return await stage(argument)
        finally:
            self.busy -= 1

    def types(self) -> dict:
        """Machine types as kept in the state service."""
        stamp = self.view.stamp(TYPES)
        if stamp != self._types[0]:
            self._types = (stamp, parse_types(self.view.get(TYPES)))
        return self._types[1]

    async def _submit(self, body: bytes) -> Reply:
        try:
            spec = parse(body)
        except Malformed as error:
            return Reply(400, {"error": str(error)})
        uid = spec.uid
        if not self.view.synced:
            return busy(1)
        if (final := self._final(uid)) is not None:
            return final
        kinds = self.types()
        why = (impossible(spec, kinds, self.teams) if kinds else "unknown types") or self._hopeless(spec)
        record = {"spec": msgspec.to_builtins(spec), "at": round(time.time(), 3), "block": self.block}
        too_large = record_size(uid, record) > self.acceptor.most_bytes
        if uid in self.chains or why is not None or too_large:
            # Known already, or to be refused: both need the proof that nothing newer says otherwise. Another door, or
            # one with larger limits, may have accepted it, and an accepted job is never refused.
            if not await self.view.fresh(SUBMIT_S * SPARE):
                return busy(1)
            known = self._state(uid)
            if known is not None:
                return known
            if too_large:
                return Reply(400, {"error": "its description is too large to be put on record"})
            if not kinds:
                return busy(2)
            why = impossible(spec, kinds, self.teams) or self._hopeless(spec)
            if why is not None:
                return Reply(422, {"error": why})
        if spec.needs and not self.rollout.complete:
            return busy(2)  # an older version would start its tasks too early
        until = trio.current_time() + SUBMIT_S * SPARE
        late = self.acceptor.writing(uid)
        wanted = await self.acceptor.accept(uid, record, until)
        if late and wanted.known_at is not None:
            # The write was begun before this was asked. While its answer was on the way others may have read it, and
            # cancelled the job and said so.
            return (await self.view.fresh(max(0.0, until - trio.current_time())) and self._state(uid)) or busy(1)
        if wanted.known_at == 0:
            log.info(
                "job %s: accepted, %s of %s, %d tasks, expects %.0f s, due %s",
                uid, spec.job_class, spec.team, spec.tasks, spec.estimate_s, spec.deadline_s,
            )  # fmt: skip
            return await self._accepted(spec, wanted.written_at, until)
        if wanted.known_at:
            with trio.move_on_at(until):
                await self.view.reach(wanted.known_at)
                return self._state(uid) or busy(1)
        return busy(1)

    async def _accepted(self, spec: JobSpec, written_at: int, until: float) -> Reply:
        """The answer for a job that we have put on record."""
        phase = "queued"
        if spec.needs:
            # It may stand on another door's record as well and have been called cancelled by then, with one that it
            # needs and without a final record of its own, which would have stopped our write. So the view has to
            # hold all that came before.
            with trio.move_on_at(until) as scope:
                await self.view.reach(written_at)
            if scope.cancelled_caught:
                return busy(1)
            phase = CANCELLED if self.chains.cancelled(spec.uid) else phase
        return Reply(201, {"uid": spec.uid, "phase": phase})

    def _hopeless(self, spec: JobSpec) -> str | None:
        """Why what the job waits for can never be done, as far as the view tells."""
        needs = spec.needs or ()
        unknown = self.chains.unknown(needs)
        if unknown is not None:
            return f"{unknown}, which it waits for, was never accepted"
        endless = next((uid for uid in needs if self.chains.service(uid)), None)
        return None if endless is None else f"{endless}, which it waits for, is a service"

    def _hopeful(self) -> bool:
        """Whether the state service answered lately: asking it again within this request may help."""
        return trio.current_time() - self.client.answered_at < SUBMIT_S / 5

    def _final(self, uid: str) -> Reply | None:
        record = self.view.get(FINAL + uid)
        if record is None and self.chains.cancelled(uid):
            record = {"phase": CANCELLED}  # with another, for good: whatever it needs can never be done any more
        if record is None:
            return None
        return Reply(200, {"uid": uid, "phase": record["phase"], "done": record.get("done", 0), "running": 0})

    def _state(self, uid: str) -> Reply | None:
        """The job's state in the view, or None if it isn't there."""
        if (final := self._final(uid)) is not None:
            return final
        if uid not in self.chains:
            return None
        done = set[int]()
        claimed = set[str]()
        number = 0
        while (page := self.view.get(page_key(number))) is not None:
            number += 1
            entry = page.get(uid)
            if entry is not None:
                for first, last in entry.get("d", ()):
                    done.update(range(first, last + 1))
                claimed.update(entry.get("a", ()))
        running = sum(1 for index in claimed if int(index) not in done)
        phase = "running" if running else "queued"
        return Reply(200, {"uid": uid, "phase": phase, "done": len(done), "running": running})

    async def _poll(self, uid: str) -> Reply:
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        if (final := self._final(uid)) is not None:
            return final
        if not await self.view.fresh(POLL_S * SPARE):
            return busy(1)
        return self._state(uid) or Reply(404, {"error": "no such job"})

    async def _cancel(self, uid: str) -> Reply:
        if not valid_uid(uid):
            return Reply(404, {"error": "no such job"})
        until = trio.current_time() + SUBMIT_S * SPARE
        while trio.current_time() < until:
            if (final := self._final(uid)) is not None:
                return final
            if uid not in self.chains:
                if not await self.view.fresh(until - trio.current_time()):
                    return busy(1)
                if self._state(uid) is None:
                    return Reply(404, {"error": "no such job"})
                continue
            # Decided once: neither this nor a late copy of it undoes an end. Once accepted the job is known for good.
            guards = {FINAL + uid: 0}
            if not await self.client.writes.take(patience=SUBMIT_S / 3):
                return busy(1)
            try:
                record = {"phase": CANCELLED, "at": round(time.time(), 3)}
                outcome = await self.client.commit(guards, {FINAL + uid: record}, [], SUBMIT_S * SPARE / 3)
            except Unavailable as error:
                log.debug("job %s: not cancelled yet: %s", uid, error)
                if not self._hopeful():
                    return busy(1)
                await trio.sleep(SUBMIT_S / 50)
                continue
            if outcome.failed is None:
                log.info("job %s: cancelled by its user", uid)
                self.cancellations.confirmed(uid, outcome.ledger)
                return Reply(200, {"uid": uid, "phase": CANCELLED})
            with trio.move_on_at(until):
                await self.view.reach(outcome.ledger)
        return busy(1)


def busy(after: int) -> Reply:
    """Can't be taken now; says when to come back."""
    return Reply(503, {"error": "try again"}, retry_after=after)


def wrong_method() -> Reply:
    """The path is known, the method isn't."""
    return Reply(405, {"error": "method"})
