"""What a controller may decide, until when, and on which proof that rests. No clock and no I/O.

An ``Authority`` is made anew from the facts whenever it is asked for, so whoever has waited asks again and gets what
holds now. Every verdict that needs a lease or knowledge has an end in time: a process that stood still finds its
verdicts expired, whatever it believed before. docs/design-connectivity.md has the whole table.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import NamedTuple

NEVER, ALWAYS = -math.inf, math.inf
ELECTION = 0.05  # of a leader's lease: no two elections are closer together


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
    GIVE_UP_MACHINE = "give a machine up"
    END_UNHEARD_CLAIM = "end the claim of a machine that has not taken our epoch"
    RENT = "hire"
    DELETE = "delete"
    TAKE_OFFICE = "take office"
    HOLD_OFFICE = "hold leadership"


class Proof(enum.Enum):
    """What a verdict rests on."""

    FRESH_VIEW = "a read of the state service that the request makes itself"
    RECORD = "a guarded write that the request makes itself"
    REACH = "the state service, or nobody, serves the others"
    LEASE = "the lease on leadership"
    KNOWN_CANCELLATIONS = "every cancellation that was confirmed is known"
    SILENCE = "silence that is not our own"
    NO_EARLIER_LEADER = "no earlier leader answers reports"


class Verdict(NamedTuple):
    """Yes from ``since`` until ``until``, as far as ``proof`` goes."""

    proof: Proof
    until: float
    since: float = NEVER

    def holds(self, now: float) -> bool:
        """Whether it is a yes now."""
        return self.since <= now < self.until


class EpochJudgement(enum.Enum):
    """What an epoch that somebody shows means for a leader."""

    NOT_LATER = "not later than ours"
    INVENTED = "no leader gave it"
    LATER = "a later leader's"


class Authority(NamedTuple):
    """The facts that a controller's decisions rest on, as of one moment; times on its steady clock."""

    condition: Condition = Condition.FULL
    takes_users: bool = True
    epoch: int = 0
    over: bool = True  # the term; a controller that is not leader has none
    resigning: bool = False
    renewed_at: float = NEVER  # when the last renewal that succeeded was sent
    ttl: float = 0.0
    lease_until: float = NEVER  # the lease on leadership is surely ours until then
    answers_until: float = NEVER  # the last moment at which an answer delays no confirmed cancellation
    cancelled_patience: float = 0.0  # how long a machine with a cancelled task may be answered
    earlier_until: float = NEVER  # an earlier leader may answer reports until then
    silence_counts_from: float = NEVER  # before that our own links explain the silence of machines
    office_until: float = NEVER  # a candidate's lease: it takes office before that or not at all

    def verdict(self, decision: Decision) -> Verdict:
        """Yes, no, or until when, and on which proof."""
        return _RULES[decision](self)

    def allows(self, decision: Decision, now: float) -> bool:
        """Whether the decision may be made now."""
        return _RULES[decision](self).holds(now)

    def denied(self, now: float) -> list[Decision]:
        """What may not be decided now."""
        return [decision for decision in Decision if not self.allows(decision, now)]

    def lease_holds(self, now: float) -> bool:
        """Whether the lease on leadership is surely ours."""
        return _while_leader(self, Proof.LEASE, min(self.lease_until, self.answers_until)).holds(now)

    def answers_cancelled_until(self, confirmed_at: float) -> float:
        """How long a machine is answered that holds a task cancelled then: an answer keeps its lease alive."""
        return confirmed_at + self.cancelled_patience

    def judge_epoch(self, shown: int, now: float) -> EpochJudgement:
        """What an epoch means that a machine shows.

        While our lease is surely ours nobody can have been elected after us, and no more often than a lease can have
        changed hands since: an epoch beyond that no leader gave.
        """
        if shown <= self.epoch:
            return EpochJudgement.NOT_LATER
        elections = max(0.0, now - self.renewed_at - self.ttl) / (self.ttl * ELECTION) + 1
        if self.lease_holds(now) or shown > self.epoch + elections:
            return EpochJudgement.INVENTED
        return EpochJudgement.LATER

    def yields_to(self, epoch: int, now: float) -> bool:
        """Whether another controller's word of a later leader ends this term: never against a lease surely ours."""
        return epoch > self.epoch and not self.lease_holds(now)


def _while_leader(authority: Authority, proof: Proof, until: float) -> Verdict:
    """A right of the leader."""
    return Verdict(proof, NEVER if authority.over else until)


def _with_lease(authority: Authority) -> Verdict:
    """New orders may begin only while the lease is surely ours and reports may be answered."""
    return _while_leader(authority, Proof.LEASE, min(authority.lease_until, authority.answers_until))


def _new_commitment(authority: Authority) -> Verdict:
    """As with the lease; a leader that resigns takes nothing new on."""
    return Verdict(Proof.LEASE, NEVER) if authority.resigning else _with_lease(authority)


_RULES: dict[Decision, Callable[[Authority], Verdict]] = {
    Decision.ACCEPT_JOB: lambda authority: Verdict(Proof.RECORD, ALWAYS),
    Decision.ANSWER_POLL: lambda authority: Verdict(Proof.FRESH_VIEW, ALWAYS),
    Decision.CONFIRM_CANCELLATION: lambda authority: Verdict(Proof.RECORD, ALWAYS),
    Decision.SERVE_USERS: lambda authority: Verdict(Proof.REACH, ALWAYS if authority.takes_users else NEVER),
    Decision.CLAIM: _new_commitment,
    Decision.LAUNCH: _with_lease,
    Decision.KEEP_LEASE_ALIVE: lambda authority: _while_leader(
        authority, Proof.KNOWN_CANCELLATIONS, authority.answers_until
    ),
    Decision.GIVE_UP_MACHINE: lambda authority: Verdict(Proof.SILENCE, ALWAYS, authority.silence_counts_from),
    Decision.END_UNHEARD_CLAIM: lambda authority: Verdict(Proof.NO_EARLIER_LEADER, ALWAYS, authority.earlier_until),
    Decision.RENT: _new_commitment,
    Decision.DELETE: _new_commitment,
    Decision.TAKE_OFFICE: lambda authority: Verdict(Proof.LEASE, authority.office_until),
    Decision.HOLD_OFFICE: lambda authority: _while_leader(
        authority, Proof.LEASE, max(authority.renewed_at + authority.ttl, authority.answers_until)
    ),
}
