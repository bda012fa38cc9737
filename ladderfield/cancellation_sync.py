"""How a leader that the state service does not serve learns of cancellations: from the other controllers.

Whichever controller a user asks confirms a cancellation, and the leader reads it from the state service. If the state
service refuses only the leader, or fails for everybody right afterwards, the leader would go on answering its workers
and keep tasks alive whose cancellation was confirmed. So its answers are bounded by the time up to which it knows every
cancellation (``Term.known_at``). This module advances that time without the state service.

    query:  epoch of the sender Q | revision its view has reached Q
    answer: highest epoch known Q | seconds since this process began d | seconds since its view was last proven fresh d
            | cancellations that the asker's view may lack, separated by spaces
    notice: cancellations that were just confirmed, separated by spaces

Every confirmation before the query is known to the asker in two cases. Either each of the other controllers answers and
had started before the time up to which the asker already knew everything, so that it lists all that it has confirmed
since; a controller that restarted later can't speak for its earlier process. Or any of them has recently proven its
view fresh: it knows what was recorded then, whoever confirmed it.
"""

from __future__ import annotations

import logging
import math
import struct
from collections.abc import Callable, Iterable, Mapping

import trio

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.model import valid_uid
from ladderfield.leadership import Leadership
from ladderfield.peers import CANCELLATION_NOTICE, CANCELLATION_QUERY, MAX_BODY_BYTES, PeerLink
from ladderfield.rollout import CANCELLATION_SYNC, level_of
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

QUERY = struct.Struct("!QQ")
ANSWER = struct.Struct("!Qdd")
MAX_QUEUED_NOTICES = 64  # the leader reads any others from the state service, or asks for them


class MalformedAnswerError(ValueError):
    """A message that no controller with this protocol sends."""


class Answer:
    """What another controller knows, in times of the local clock."""

    def __init__(self, body: bytes, asked_at: float, now: float) -> None:
        if len(body) < ANSWER.size:
            raise MalformedAnswerError(f"{len(body)} bytes are too short for an answer")
        self.epoch, uptime_s, proven_s = ANSWER.unpack_from(body)
        if not (uptime_s >= 0 and proven_s >= 0 and math.isfinite(uptime_s)):
            raise MalformedAnswerError("the answer holds an invalid age")
        self.began_at = now - uptime_s / CLOCK_DRIFT_FACTOR  # at the latest
        self.proven_at = asked_at - proven_s * CLOCK_DRIFT_FACTOR  # at the earliest
        self.uids = parse_uids(body[ANSWER.size :])


def parse_uids(body: bytes) -> list[str]:
    """The ids of jobs in a message, or MalformedAnswerError."""
    uids = body.decode("ascii", errors="replace").split()
    if not all(valid_uid(uid) for uid in uids):
        raise MalformedAnswerError("not a list of job ids")
    return uids


def known_until(term: Term, asked_at: float, answers: Iterable[Answer | None]) -> float:
    """The time up to which every confirmed cancellation is known, once those listed in the answers are applied."""
    answers = list(answers)
    received = [answer for answer in answers if answer is not None]
    if any(answer.epoch > term.epoch for answer in received):
        return -math.inf  # another may be leader, and its bound on our answers runs from its election
    known_at = max((answer.proven_at for answer in received), default=-math.inf)
    if len(received) == len(answers) and all(answer.began_at <= term.known_at for answer in received):
        known_at = max(known_at, asked_at)
    return known_at


class CancellationSync:
    """Sends and answers queries, and notifies the leader of cancellations that were just confirmed here."""

    def __init__(
        self, leadership: Leadership, view: View, cancellations: Cancellations, links: Mapping[str, PeerLink]
    ) -> None:
        self.leadership, self.view, self.cancellations, self.links = leadership, view, cancellations, links
        self._notice_sender, self._notice_receiver = trio.open_memory_channel[str](MAX_QUEUED_NOTICES)
        self.deliver: Callable[[list[str]], object] = lambda uids: None  # to the leader, if it is this controller
        self._warned = False
        cancellations.on_confirmed = self._confirmed

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """The answer to a leader's query: the cancellations known here."""
        if len(body) != QUERY.size:
            return 400, b""
        _, revision = QUERY.unpack(body)
        uids, now = self.cancellations.newer_than(revision), trio.current_time()
        if uids is None or not self.view.synced:
            return 503, b""
        epoch, _ = self.leadership.latest_known()
        uptime_s, proven_s = now - self.cancellations.began_at, now - self.view.proven_at
        answer = ANSWER.pack(epoch, uptime_s, proven_s) + " ".join(uids).encode()
        return (200, answer) if len(answer) <= MAX_BODY_BYTES else (503, b"")

    async def ask(self, term: Term, timeout: float) -> tuple[list[str], float]:
        """Cancellations that the leader may lack, and up to when it knows all once it has applied these."""
        asked_at, revision = trio.current_time(), self.view.revision
        answers: dict[str, Answer | None] = dict.fromkeys(self.links)

        async def query(member: str, link: PeerLink) -> None:
            if level_of(self.view, member) < CANCELLATION_SYNC:
                return  # an older version would close the connection
            reply = await link.ask(CANCELLATION_QUERY, QUERY.pack(term.epoch, revision), timeout)
            if reply is not None and reply.status == 200:
                try:
                    answers[member] = Answer(reply.body, asked_at, trio.current_time())
                except MalformedAnswerError as error:
                    self._warn(member, error)

        async with trio.open_nursery() as nursery:
            for member, link in self.links.items():
                nursery.start_soon(query, member, link)
        uids = set(self.cancellations.newer_than(revision) or ())
        uids.update(uid for answer in answers.values() if answer is not None for uid in answer.uids)
        return sorted(uids), known_until(term, asked_at, answers.values())

    def _warn(self, member: str, error: MalformedAnswerError) -> None:
        if not self._warned:
            self._warned = True
            log.warning("%s: malformed answer on back: %s", member, error)

    def _confirmed(self, uid: str) -> None:
        try:
            self._notice_sender.send_nowait(uid)
        except trio.WouldBlock:
            log.debug("job %s: too many notices wait; the leader learns of the cancellation later", uid)

    async def run_notices(self, timeout: float) -> None:
        """Send the leader each cancellation as it is confirmed. No caller waits for this."""
        async for uid in self._notice_receiver:
            uids = [uid]
            while self._notice_receiver.statistics().current_buffer_used:
                uids.append(self._notice_receiver.receive_nowait())
            if self.leadership.term is not None:
                self.deliver(uids)
                continue
            member = self.leadership.known_leader() or ""
            link = self.links.get(member)
            if link is not None and link.reachable and level_of(self.view, member) >= CANCELLATION_SYNC:
                await link.ask(CANCELLATION_NOTICE, " ".join(uids).encode(), timeout)
