"""How a leader that the state service does not serve learns of cancellations: from the other controllers.

Whichever controller a user asks confirms a cancellation, and the leader sees it in the state service. If that refuses
the leader alone, or is down for everybody right after, the leader would go on to answer its workers and keep tasks
alive that were confirmed as cancelled. So its answers are bound to the moment up to which it surely knows every
cancellation (``Term.known_at``), and this is how that moment moves on without the state service.

    question: epoch of the asker Q | revision its view has reached Q
    answer:   highest epoch known Q | seconds since this process began d | since its view was last proven fresh d |
              cancellations that the asker's view may lack, separated by spaces
    notice:   cancellations that were just confirmed, separated by spaces

Every confirmation before the question is known to the asker if each of the other controllers answers, and each of them
either began before the moment up to which the asker knew everything already, so that what it lists is all that it has
confirmed since; a controller that restarted later can say nothing of its earlier process. Or any of them has proven
its view fresh lately: then it knows what was on record then, whoever confirmed it.
"""

from __future__ import annotations

import logging
import math
import struct
from collections.abc import Callable, Iterable, Mapping

import trio

from ladderfield.clocks import CLOCKS
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.model import valid_uid
from ladderfield.leadership import Leadership
from ladderfield.peers import BODY_MOST, CANCELLATION_NOTICE, CANCELLATION_QUERY, PeerLink
from ladderfield.rollout import CANCELLATION_SYNC, level_of
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

QUESTION = struct.Struct("!QQ")
ANSWER = struct.Struct("!Qdd")
NOTICES = 64  # confirmed at once; what is more the leader sees on record, or asks for


class MalformedAnswerError(ValueError):
    """Not what a controller of this protocol says."""


class Answer:
    """What another controller knows for sure, on our clock."""

    def __init__(self, body: bytes, asked_at: float, now: float) -> None:
        if len(body) < ANSWER.size:
            raise MalformedAnswerError(f"{len(body)} bytes are no answer")
        self.epoch, lived_s, proven_s = ANSWER.unpack_from(body)
        if not (lived_s >= 0 and proven_s >= 0 and math.isfinite(lived_s)):
            raise MalformedAnswerError("an age is no time")
        self.began_at = now - lived_s / CLOCKS  # at the latest
        self.proven_at = asked_at - proven_s * CLOCKS  # at the earliest
        self.uids = parse_uids(body[ANSWER.size :])


def parse_uids(body: bytes) -> list[str]:
    """The jobs named, or MalformedAnswerError."""
    uids = body.decode("ascii", errors="replace").split()
    if not all(valid_uid(uid) for uid in uids):
        raise MalformedAnswerError("not the ids of jobs")
    return uids


def known_until(term: Term, asked_at: float, answers: Iterable[Answer | None]) -> float:
    """The moment up to which every confirmed cancellation is known, once what the answers list is taken in."""
    answers = list(answers)
    heard = [answer for answer in answers if answer is not None]
    if any(answer.epoch > term.epoch for answer in heard):
        return -math.inf  # another may be leader, whose bound on us runs from its election
    known_at = max((answer.proven_at for answer in heard), default=-math.inf)
    if len(heard) == len(answers) and all(answer.began_at <= term.known_at for answer in heard):
        known_at = max(known_at, asked_at)
    return known_at


class CancellationSync:
    """Asks and answers, and tells the leader of what was just confirmed here."""

    def __init__(
        self, leadership: Leadership, view: View, cancellations: Cancellations, links: Mapping[str, PeerLink]
    ) -> None:
        self.leadership, self.view, self.cancellations, self.links = leadership, view, cancellations, links
        self._notices, self._noticed = trio.open_memory_channel[str](NOTICES)
        self.deliver: Callable[[list[str]], object] = lambda uids: None  # to the leader of this very controller
        self._warned = False
        cancellations.on_confirmed = self._confirmed

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """The answer to a leader's question: what is known here."""
        if len(body) != QUESTION.size:
            return 400, b""
        _, ledger = QUESTION.unpack(body)
        uids, now = self.cancellations.newer_than(ledger), trio.current_time()
        if uids is None or not self.view.synced:
            return 503, b""
        epoch, _ = self.leadership.latest()
        lived_s, proven_s = now - self.cancellations.began_at, now - self.view.proven_at
        answer = ANSWER.pack(epoch, lived_s, proven_s) + " ".join(uids).encode()
        return (200, answer) if len(answer) <= BODY_MOST else (503, b"")

    async def ask(self, term: Term, timeout: float) -> tuple[list[str], float]:
        """What the leader may not know, and up to when it knows everything once it has taken this in."""
        asked_at, ledger = trio.current_time(), self.view.ledger
        answers: dict[str, Answer | None] = dict.fromkeys(self.links)

        async def one(member: str, link: PeerLink) -> None:
            if level_of(self.view, member) < CANCELLATION_SYNC:
                return  # it would close the connection
            reply = await link.ask(CANCELLATION_QUERY, QUESTION.pack(term.epoch, ledger), timeout)
            if reply is not None and reply.status == 200:
                try:
                    answers[member] = Answer(reply.body, asked_at, trio.current_time())
                except MalformedAnswerError as error:
                    self._warn(member, error)

        async with trio.open_nursery() as nursery:
            for member, link in self.links.items():
                nursery.start_soon(one, member, link)
        uids = set(self.cancellations.newer_than(ledger) or ())
        uids.update(uid for answer in answers.values() if answer is not None for uid in answer.uids)
        return sorted(uids), known_until(term, asked_at, answers.values())

    def _warn(self, member: str, error: MalformedAnswerError) -> None:
        if not self._warned:
            self._warned = True
            log.warning("%s: a malformed answer over back: %s", member, error)

    def _confirmed(self, uid: str) -> None:
        try:
            self._notices.send_nowait(uid)
        except trio.WouldBlock:
            log.debug("job %s: the leader is not told at once", uid)

    async def run_notices(self, timeout: float) -> None:
        """Tell the leader of each cancellation as it is confirmed. Nobody waits for this."""
        async for uid in self._noticed:
            uids = [uid]
            while self._noticed.statistics().current_buffer_used:
                uids.append(self._noticed.receive_nowait())
            if self.leadership.term is not None:
                self.deliver(uids)
                continue
            member = self.leadership.known_leader() or ""
            link = self.links.get(member)
            if link is not None and link.reachable and level_of(self.view, member) >= CANCELLATION_SYNC:
                await link.ask(CANCELLATION_NOTICE, " ".join(uids).encode(), timeout)
