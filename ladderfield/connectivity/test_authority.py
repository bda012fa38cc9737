"""What authority allows: every decision of the table against every proof that it needs."""

from __future__ import annotations

import pytest
import trio

from ladderfield.clocks import CLOCKS
from ladderfield.connectivity.authority import (
    ALWAYS,
    ELECTION,
    NEVER,
    Authority,
    Condition,
    Decision,
    EpochJudgement,
)
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.term import Term

TTL, GRACE = 2.0, 17.0
WITH_LEASE = (Decision.CLAIM, Decision.LAUNCH, Decision.RENT, Decision.DELETE)
OF_A_LEADER = (*WITH_LEASE, Decision.KEEP_LEASE_ALIVE, Decision.HOLD_OFFICE)
OF_REQUESTS = (Decision.ACCEPT_JOB, Decision.ANSWER_POLL, Decision.CONFIRM_CANCELLATION)


def term(renewed_at: float = 100.0, known_at: float = 100.0, grace: float = GRACE) -> Term:
    return Term(7, 3, 1, renewed_at, TTL, grace, known_at)


def test_new_orders_need_the_lease() -> None:
    authority = term().authority()
    for decision in WITH_LEASE:
        assert authority.verdict(decision).until == pytest.approx(100.0 + TTL / CLOCKS)
        assert authority.allows(decision, 101.9) and not authority.allows(decision, 102.0)


def test_new_orders_need_the_knowledge_of_cancellations_too() -> None:
    authority = term(renewed_at=120.0, known_at=100.0).authority()
    for decision in WITH_LEASE:
        assert not authority.allows(decision, 120.0)
    assert not authority.lease_holds(120.0)


def test_leases_of_workers_are_kept_alive_for_as_long_as_all_cancellations_are_known() -> None:
    authority = term().authority()
    assert authority.allows(Decision.KEEP_LEASE_ALIVE, 100.0 + GRACE - 0.1)
    assert not authority.allows(Decision.KEEP_LEASE_ALIVE, 100.0 + GRACE)
    assert authority.allows(Decision.HOLD_OFFICE, 100.0 + GRACE - 0.1), "it is leader while it answers"
    assert not authority.allows(Decision.HOLD_OFFICE, 100.0 + GRACE)


def test_a_term_that_is_over_allows_nothing_of_a_leaders() -> None:
    ended = term()
    ended.over = trio.Event()
    ended.end("test")
    for decision in OF_A_LEADER:
        assert not ended.authority().allows(decision, 100.0)
        assert not Authority().allows(decision, 100.0), "nor does a controller that never was leader"


def test_a_leader_that_resigns_takes_nothing_new_on_and_goes_on_with_what_it_has() -> None:
    resigning = term()
    resigning.resigning = True
    authority = resigning.authority()
    assert set(authority.denied(100.5)) & set(OF_A_LEADER) == {Decision.CLAIM, Decision.RENT, Decision.DELETE}


def test_a_process_that_stood_still_has_lost_its_proof() -> None:
    """What was asked before it stood still says nothing: the verdict has an end in time."""
    before = term().authority()
    for decision in OF_A_LEADER:
        assert before.allows(decision, 100.1) and not before.allows(decision, 100.0 + GRACE + 5.0)


@pytest.mark.parametrize(
    ("shown", "now", "judgement"),
    [
        (7, 150.0, EpochJudgement.NOT_LATER),
        (8, 101.0, EpochJudgement.INVENTED),  # nobody can have been elected while the lease is ours
        (8, 102.5, EpochJudgement.LATER),
        (9, 102.01 + TTL * ELECTION, EpochJudgement.LATER),
        (10, 102.01 + TTL * ELECTION, EpochJudgement.INVENTED),  # more elections than there was time for
    ],
)
def test_what_a_shown_epoch_means(shown: int, now: float, judgement: EpochJudgement) -> None:
    assert term().authority().judge_epoch(shown, now) is judgement


def test_a_peers_word_of_a_later_leader_counts_only_without_the_lease() -> None:
    authority = term().authority()
    assert not authority.yields_to(8, 101.0)
    assert authority.yields_to(8, 102.5) and not authority.yields_to(7, 102.5)


def test_machines_are_not_given_up_for_a_silence_that_is_our_own() -> None:
    cut = term()
    cut.reach = lambda: ReachStatus(Condition.WITHOUT_WORKERS, 130.0)
    assert not cut.authority().allows(Decision.GIVE_UP_MACHINE, 129.0)
    assert cut.authority().allows(Decision.GIVE_UP_MACHINE, 130.0), "for a bounded time"
    assert term().authority().allows(Decision.GIVE_UP_MACHINE, 0.0)


def test_claims_of_unheard_machines_bind_until_no_earlier_leader_answers() -> None:
    new = term()
    new.earlier.until = 136.0
    verdict = new.authority().verdict(Decision.END_UNHEARD_CLAIM)
    assert (verdict.since, verdict.until) == (136.0, ALWAYS)
    new.earlier.none_left(7, 110.0)
    assert new.authority().allows(Decision.END_UNHEARD_CLAIM, 110.0)
    new.earlier.none_left(7, 120.0)
    assert new.earlier.until == 110.0, "it is never put off"


def test_a_machine_with_a_cancelled_task_is_answered_for_the_grace_period_only() -> None:
    assert term().authority().answers_cancelled_until(50.0) == 50.0 + GRACE
    assert term(grace=0.0).authority().answers_cancelled_until(50.0) == 50.0 + TTL


def test_requests_bring_their_own_proof_and_users_are_served_unless_they_fare_better_elsewhere() -> None:
    authority = Authority(condition=Condition.ISOLATED, takes_users=False)
    assert all(authority.verdict(decision).until == ALWAYS for decision in OF_REQUESTS)
    assert authority.verdict(Decision.SERVE_USERS).until == NEVER


def test_every_decision_has_a_rule() -> None:
    assert all(Authority().verdict(decision).proof for decision in Decision)
