"""What a controller may decide: every decision against every proof that it needs."""

from __future__ import annotations

import pytest
import trio

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.connectivity.authority import (
    ALWAYS,
    MIN_ELECTION_INTERVAL_SHARE,
    NEVER,
    Authority,
    Condition,
    Decision,
    EpochJudgement,
)
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.term import Term
from ladderfield.tokens import TOKENS_PER_EPOCH

TTL, GRACE = 2.0, 17.0
NEEDS_LEASE = (Decision.CLAIM, Decision.LAUNCH, Decision.RENT, Decision.DELETE)
LEADER_DECISIONS = (*NEEDS_LEASE, Decision.KEEP_LEASE_ALIVE, Decision.REMAIN_LEADER)
REQUEST_DECISIONS = (Decision.ACCEPT_JOB, Decision.ANSWER_POLL, Decision.CONFIRM_CANCELLATION)


def term(renewed_at: float = 100.0, known_at: float = 100.0, grace: float = GRACE) -> Term:
    return Term(7, 3, 1, renewed_at, TTL, grace, known_at)


def test_new_orders_need_the_lease() -> None:
    authority = term().authority()
    for decision in NEEDS_LEASE:
        assert authority.verdict(decision).until == pytest.approx(100.0 + TTL / CLOCK_DRIFT_FACTOR)
        assert authority.allows(decision, 101.9) and not authority.allows(decision, 102.0)


def test_new_orders_need_known_cancellations() -> None:
    authority = term(renewed_at=120.0, known_at=100.0).authority()
    for decision in NEEDS_LEASE:
        assert not authority.allows(decision, 120.0)
    assert not authority.lease_holds(120.0)


def test_worker_leases_are_kept_alive_while_all_cancellations_are_known() -> None:
    authority = term().authority()
    assert authority.allows(Decision.KEEP_LEASE_ALIVE, 100.0 + GRACE - 0.1)
    assert not authority.allows(Decision.KEEP_LEASE_ALIVE, 100.0 + GRACE)
    assert authority.allows(Decision.REMAIN_LEADER, 100.0 + GRACE - 0.1), "it is leader while it may answer"
    assert not authority.allows(Decision.REMAIN_LEADER, 100.0 + GRACE)


def test_an_ended_term_allows_no_leader_decision() -> None:
    ended = term()
    ended.over = trio.Event()
    ended.end("test")
    for decision in LEADER_DECISIONS:
        assert not ended.authority().allows(decision, 100.0)
        assert not Authority().allows(decision, 100.0), "a controller that never was leader may not either"


def test_a_resigning_leader_takes_on_nothing_new_and_continues_existing_work() -> None:
    resigning = term()
    resigning.resigning = True
    authority = resigning.authority()
    assert set(authority.denied(100.5)) & set(LEADER_DECISIONS) == {Decision.CLAIM, Decision.RENT, Decision.DELETE}


def test_verdicts_of_a_suspended_process_have_expired() -> None:
    """A verdict that was asked for before the suspension has an end in time, so it allows nothing afterwards."""
    before = term().authority()
    for decision in LEADER_DECISIONS:
        assert before.allows(decision, 100.1) and not before.allows(decision, 100.0 + GRACE + 5.0)


@pytest.mark.parametrize(
    ("shown", "now", "judgement"),
    [
        (7, 150.0, EpochJudgement.NOT_LATER),
        (8, 101.0, EpochJudgement.IMPOSSIBLE),  # nobody can have been elected while the lease holds
        (8, 102.5, EpochJudgement.LATER),
        (7 + TOKENS_PER_EPOCH, 102.01, EpochJudgement.LATER),
        (8 + TOKENS_PER_EPOCH, 102.01, EpochJudgement.IMPOSSIBLE),
        (7 + 2 * TOKENS_PER_EPOCH, 102.01 + TTL * MIN_ELECTION_INTERVAL_SHARE, EpochJudgement.LATER),
        (
            8 + 2 * TOKENS_PER_EPOCH,
            102.01 + TTL * MIN_ELECTION_INTERVAL_SHARE,
            EpochJudgement.IMPOSSIBLE,
        ),  # more elections than there was time for
    ],
)
def test_a_shown_epoch_is_judged_by_the_lease_and_the_time_for_elections(
    shown: int, now: float, judgement: EpochJudgement
) -> None:
    assert term().authority().judge_epoch(shown, now) is judgement


def test_a_peers_report_of_a_later_leader_ends_the_term_only_without_the_lease() -> None:
    authority = term().authority()
    assert not authority.is_superseded_by(8, 101.0)
    assert authority.is_superseded_by(8, 102.5) and not authority.is_superseded_by(7, 102.5)


def test_machines_are_not_declared_lost_for_silence_caused_by_our_own_links() -> None:
    cut = term()
    cut.reach = lambda: ReachStatus(Condition.WITHOUT_WORKERS, 130.0)
    assert not cut.authority().allows(Decision.DECLARE_MACHINE_LOST, 129.0)
    assert cut.authority().allows(Decision.DECLARE_MACHINE_LOST, 130.0), "the wait is bounded"
    assert term().authority().allows(Decision.DECLARE_MACHINE_LOST, 0.0)


def test_claims_of_unacknowledged_machines_hold_until_no_earlier_leader_answers() -> None:
    successor = term()
    successor.earlier.until = 136.0
    verdict = successor.authority().verdict(Decision.END_UNACKNOWLEDGED_CLAIM)
    assert (verdict.since, verdict.until) == (136.0, ALWAYS)
    successor.earlier.confirm_none_left(7, 110.0)
    assert successor.authority().allows(Decision.END_UNACKNOWLEDGED_CLAIM, 110.0)
    successor.earlier.confirm_none_left(7, 120.0)
    assert successor.earlier.until == 110.0, "a later confirmation changes nothing"


def test_a_machine_with_a_cancelled_task_is_answered_for_the_grace_period_only() -> None:
    assert term().authority().answers_cancelled_until(50.0) == 50.0 + GRACE
    assert term(grace=0.0).authority().answers_cancelled_until(50.0) == 50.0 + TTL


def test_requests_bring_their_own_proof_and_users_are_served_unless_served_better_elsewhere() -> None:
    authority = Authority(condition=Condition.ISOLATED, serves_users=False)
    assert all(authority.verdict(decision).until == ALWAYS for decision in REQUEST_DECISIONS)
    assert authority.verdict(Decision.SERVE_USERS).until == NEVER


def test_every_decision_has_a_rule() -> None:
    assert all(Authority().verdict(decision).proof for decision in Decision)
