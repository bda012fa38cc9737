"""What a controller may decide, until when, and the proof that this rests on. No clock and no I/O.

An ``Authority`` is built from the current facts whenever it is asked for, so a caller that has waited asks again. Every
verdict that needs a lease or knowledge has an end in time: a process that was suspended finds its verdicts expired.
docs/design-connectivity.md has the whole table.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import NamedTuple

from ladderfield.tokens import TOKENS_PER_EPOCH

NEVER, ALWAYS = -math.inf, math.inf
MIN_ELECTION_INTERVAL_SHARE = 0.05  # of the leader's lease: no two elections are closer together


class Condition(enum.Enum):
    """Which side of the cluster a controller reaches."""

    FULL = "full"
    WITHOUT_STATE = "without the state service"
    WITHOUT_WORKERS = "without workers"
    ISOLATED = "isolated"


class Decision(enum.Enum):
    """What a controller decides."""

    ACCEPT_JOB = "accept a job"
    ANSWER_POLL = "answer a poll"
    CONFIRM_CANCELLATION = "confirm a cancellation"
    SERVE_USERS = "serve users"
    CLAIM = "claim"
    LAUNCH = "launch"
    KEEP_LEASE_ALIVE = "keep a worker's lease alive"
    DECLARE_MACHINE_LOST = "declare a machine lost"
    END_UNACKNOWLEDGED_CLAIM = "end the claim of a machine that has not acknowledged our epoch"
    RENT = "rent"
    DELETE = "delete"
    BECOME_LEADER = "become leader"
    REMAIN_LEADER = "remain leader"


class Proof(enum.Enum):
    """What a verdict rests on."""

    FRESH_VIEW = "a read of the state service that the request makes itself"
    RECORD = "a guarded write that the request makes itself"
    REACH = "no other controller serves users better"
    LEASE = "the lease on leadership"
    KNOWN_CANCELLATIONS = "every cancellation that was confirmed is known"
    SILENCE = "silence that our own links do not explain"
    NO_EARLIER_LEADER = "no earlier leader answers reports"


class Verdict(NamedTuple):
    """Allowed from ``since`` until ``until``, as far as ``proof`` goes."""

    proof: Proof
    until: float
    since: float = NEVER

    def holds(self, now: float) -> bool:
        """Whether it allows the decision now."""
        return self.since <= now < self.until


class EpochJudgement(enum.Enum):
    """What an epoch that another party shows means for a leader."""

    NOT_LATER = "not later than ours"
    IMPOSSIBLE = "no election can have produced it"
    LATER = "a later leader's"


class Authority(NamedTuple):
    """The facts that the decisions of a controller rest on, at one time; times on its steady clock."""

    condition: Condition = Condition.FULL
    serves_users: bool = True
    epoch: int = 0
    over: bool = True  # the term; a controller that is not leader has none
    resigning: bool = False
    renewed_at: float = NEVER  # when the last successful renewal was sent
    ttl: float = 0.0
    lease_until: float = NEVER  # the lease on leadership certainly holds until then
    answers_until: float = NEVER  # a later answer could delay a confirmed cancellation
    cancelled_answer_s: float = 0.0  # how long a machine with a cancelled task may be answered
    earlier_until: float = NEVER  # an earlier leader may answer reports until then
    silence_counts_from: float = NEVER  # before that, our own links may explain the silence of machines
    candidacy_until: float = NEVER  # a candidate becomes leader before its lease may expire, or not at all

    def verdict(self, decision: Decision) -> Verdict:
        """Whether, from when and until when a decision is allowed, and on which proof."""
        return _RULES[decision](self)

    def allows(self, decision: Decision, now: float) -> bool:
        """Whether the decision is allowed now."""
        return _RULES[decision](self).holds(now)

    def denied(self, now: float) -> list[Decision]:
        """The decisions that are not allowed now."""
        return [decision for decision in Decision if not self.allows(decision, now)]

    def lease_holds(self, now: float) -> bool:
        """Whether the lease on leadership certainly holds."""
        return _while_leader(self, Proof.LEASE, min(self.lease_until, self.answers_until)).holds(now)

    def answers_cancelled_until(self, confirmed_at: float) -> float:
        """Until when a machine with a task cancelled then is answered: each answer keeps its lease alive."""
        return confirmed_at + self.cancelled_answer_s

    def judge_epoch(self, shown: int, now: float) -> EpochJudgement:
        """What the epoch that a machine shows means.

        While our lease certainly holds, nobody can have been elected after us. Later there can have been only as many
        elections as the lease had time to change hands, so a higher epoch cannot come from a leader.
        """
        if shown <= self.epoch:
            return EpochJudgement.NOT_LATER
        since_lease = max(0.0, now - self.renewed_at - self.ttl)
        elections = math.floor(since_lease / (self.ttl * MIN_ELECTION_INTERVAL_SHARE)) + 1
        if self.lease_holds(now) or shown > self.epoch + elections * TOKENS_PER_EPOCH:
            return EpochJudgement.IMPOSSIBLE
        return EpochJudgement.LATER

    def is_superseded_by(self, epoch: int, now: float) -> bool:
        """Whether another controller's report of a later leader ends this term; never while the lease holds."""
        return epoch > self.epoch and not self.lease_holds(now)


def _while_leader(authority: Authority, proof: Proof, until: float) -> Verdict:
    """Allowed to the leader only."""
    return Verdict(proof, NEVER if authority.over else until)


def _with_lease(authority: Authority) -> Verdict:
    """New orders need a lease that certainly holds, and a leader that may answer reports."""
    return _while_leader(authority, Proof.LEASE, min(authority.lease_until, authority.answers_until))


def _new_commitment(authority: Authority) -> Verdict:
    """As with the lease, but a leader that resigns takes on nothing new."""
    return Verdict(Proof.LEASE, NEVER) if authority.resigning else _with_lease(authority)


_RULES: dict[Decision, Callable[[Authority], Verdict]] = {
    Decision.ACCEPT_JOB: lambda authority: Verdict(Proof.RECORD, ALWAYS),
    Decision.ANSWER_POLL: lambda authority: Verdict(Proof.FRESH_VIEW, ALWAYS),
    Decision.CONFIRM_CANCELLATION: lambda authority: Verdict(Proof.RECORD, ALWAYS),
    Decision.SERVE_USERS: lambda authority: Verdict(Proof.REACH, ALWAYS if authority.serves_users else NEVER),
    Decision.CLAIM: _new_commitment,
    Decision.LAUNCH: _with_lease,
    Decision.KEEP_LEASE_ALIVE: lambda authority: _while_leader(
        authority, Proof.KNOWN_CANCELLATIONS, authority.answers_until
    ),
    Decision.DECLARE_MACHINE_LOST: lambda authority: Verdict(Proof.SILENCE, ALWAYS, authority.silence_counts_from),
    Decision.END_UNACKNOWLEDGED_CLAIM: lambda authority: Verdict(
        Proof.NO_EARLIER_LEADER, ALWAYS, authority.earlier_until
    ),
    Decision.RENT: _new_commitment,
    Decision.DELETE: _new_commitment,
    Decision.BECOME_LEADER: lambda authority: Verdict(Proof.LEASE, authority.candidacy_until),
    Decision.REMAIN_LEADER: lambda authority: _while_leader(
        authority, Proof.LEASE, max(authority.renewed_at + authority.ttl, authority.answers_until)
    ),
}
