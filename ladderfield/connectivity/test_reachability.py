"""The state of each link, and the reach of workers by zone and share."""

from __future__ import annotations

import pytest

from ladderfield.connectivity.authority import Condition
from ladderfield.connectivity.links import Exchange, LinkHistory, LinkState, exchange_for_status
from ladderfield.connectivity.reachability import LinkKind, PeerStatus, Reachability, serves_users
from ladderfield.connectivity.worker_reach import (
    EXCHANGES_PER_ZONE,
    CutDirections,
    RecentHosts,
    WorkerTraffic,
    ZoneReach,
    judge,
    judge_follower,
)

REPORT_S, LEASE_S = 2.0, 12.0
NOT_CUT, CUT = CutDirections(), CutDirections(True, True)


def reachability(max_hosts: int = 5000) -> Reachability:
    return Reachability(REPORT_S, LEASE_S, max_hosts)


def state_and_start(link: LinkHistory) -> tuple[LinkState, float]:
    return link.state, link.since


def test_a_link_is_cut_after_consecutive_failures_over_some_time() -> None:
    link = LinkHistory(1.0)
    assert not link.note(Exchange.LOST, 1.0) and not link.note(Exchange.LOST, 1.5)
    assert state_and_start(link)[0] is LinkState.OPEN, "two within a moment may have one cause"
    assert link.note(Exchange.LOST, 2.0)
    assert state_and_start(link) == (LinkState.CUT, 1.0) and link.last_failure == 2.0
    assert not link.note(Exchange.ANSWERED, 3.0) and state_and_start(link)[0] is LinkState.CUT, (
        "a single answer may be a late one"
    )
    assert link.note(Exchange.ANSWERED, 3.1)
    assert state_and_start(link) == (LinkState.OPEN, 3.0) and link.last_success == 3.1


def test_single_answers_keep_a_link_open_but_do_not_reopen_a_cut_one() -> None:
    link = LinkHistory(1.0)
    for now in range(20):
        link.note(Exchange.LOST if now % 2 else Exchange.ANSWERED, float(now))
        assert link.state is LinkState.OPEN
    for now in range(20, 40):
        link.note(Exchange.ANSWERED if now % 3 == 2 else Exchange.LOST, float(now))
    assert link.state is LinkState.CUT


def test_a_4xx_counts_as_an_answer_and_503_as_unavailable() -> None:
    assert exchange_for_status(429) is exchange_for_status(409) is Exchange.ANSWERED
    link = LinkHistory(1.0)
    for now in range(3):
        link.note(exchange_for_status(503), float(now))
    assert link.state is LinkState.UNAVAILABLE
    link.note(Exchange.LOST, 4.0)
    assert (link.state, link.since) == (LinkState.CUT, 0.0), "the state keeps its start"


def test_the_condition_follows_the_state_service_and_the_reports() -> None:
    tracker = reachability()
    for now in range(3):
        tracker.note(LinkKind.STATE_WRITE, Exchange.LOST, float(now))
    assert tracker.condition() is Condition.WITHOUT_STATE
    tracker.cut = CutDirections(inbound=True)
    assert tracker.condition() is Condition.ISOLATED
    for now in range(3, 6):
        tracker.note(LinkKind.STATE_WRITE, Exchange.ANSWERED, float(now))
    assert tracker.condition() is Condition.WITHOUT_WORKERS
    tracker.cut = CutDirections(outbound=True)
    assert tracker.condition() is Condition.FULL, "orders go with the answers to reports"


@pytest.mark.parametrize(
    ("zones", "cut"),
    [
        ({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 1, 8, 0)}, CUT),
        ({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 10, 8, 8)}, NOT_CUT),  # a lost zone
        ({"a": ZoneReach(100, 90, 8, 7)}, NOT_CUT),  # ten faulty machines
        ({"a": ZoneReach(10, 0, 8, 8)}, NOT_CUT),  # workers that stayed with their controller after a change of leader
        ({"a": ZoneReach(10, 10, 8, 0)}, CutDirections(outbound=True)),  # only orders fail to arrive
        ({"a": ZoneReach(2, 0, 2, 0)}, NOT_CUT),  # too few to judge
        ({"a": ZoneReach()}, NOT_CUT),  # all still booting
        ({}, NOT_CUT),  # an empty fleet
        ({"a": ZoneReach(4000, 400, 8, 0)}, CUT),
        ({"a": ZoneReach(4000, 401, 8, 1)}, NOT_CUT),
    ],
)
def test_a_controller_is_cut_off_if_nearly_no_worker_of_any_zone_gets_through(
    zones: dict[str, ZoneReach], cut: CutDirections
) -> None:
    assert judge(zones, NOT_CUT) == cut


def test_if_orders_arrive_a_cut_needs_workers_that_report_elsewhere() -> None:
    zones = {"a": ZoneReach(10, 0, 8, 8)}
    assert judge(zones, NOT_CUT, reporting_elsewhere=4) == NOT_CUT
    assert judge(zones, NOT_CUT, reporting_elsewhere=5) == CutDirections(inbound=True)
    assert judge(zones, CutDirections(inbound=True)) == NOT_CUT, "no controller reports them any more"
    assert judge({"a": ZoneReach(10, 9, 8, 8)}, NOT_CUT, reporting_elsewhere=9) == NOT_CUT, "they report here again"


def test_the_shares_that_begin_and_end_a_cut_lie_far_apart() -> None:
    partial = {"a": ZoneReach(10, 5, 8, 4)}
    assert judge(partial, NOT_CUT) == NOT_CUT and judge(partial, CUT) == CUT
    assert judge({"a": ZoneReach(10, 6, 8, 5)}, CUT) == NOT_CUT
    assert judge({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 9, 8, 8)}, CUT) == NOT_CUT


def test_a_follower_to_which_nobody_needs_to_report_is_not_cut_off() -> None:
    assert judge_follower({"a": ZoneReach(10, 0, 8, 8)}, NOT_CUT) == NOT_CUT
    assert judge_follower({"a": ZoneReach(10, 0, 8, 0)}, NOT_CUT) == CUT
    assert judge_follower({"a": ZoneReach(10, 4, 8, 0)}, NOT_CUT) == CutDirections(outbound=True)


def test_a_suspended_process_does_not_take_missing_traffic_for_a_cut() -> None:
    tracker = reachability()
    for suspended_s, cut in ((0.0, True), (2 * REPORT_S, False)):
        tracker.judge_workers(0.0, 1.0)
        tracker.workers.set_leader_counts({"a": (10, 0)})
        tracker.judge_workers(1.0 + suspended_s, 1.0, reporting_elsewhere=10)
        assert tracker.cut.inbound is cut
        tracker.cut, tracker._judged_at, tracker._valid_from = NOT_CUT, None, 0.0


def test_silence_counts_again_a_lease_after_the_cut() -> None:
    tracker = reachability()
    tracker.workers.set_leader_counts({"a": (10, 0)})
    tracker.judge_workers(5.0, 1.0, reporting_elsewhere=10)
    status = tracker.status()
    assert (status.condition, status.silence_counts_from) == (Condition.WITHOUT_WORKERS, 5.0 + LEASE_S)


def test_worker_traffic_is_bounded_and_expires_after_its_window() -> None:
    traffic = WorkerTraffic(3.0, 100)
    traffic.set_machines_on_record({"a": 4000})
    for number in range(4000):
        traffic.note_report("a", f"i-{number:06d}", 10.0)
        traffic.note_exchange("a", number % 2 == 0, 10.0)
    reach = traffic.zones(10.0)["a"]
    assert (reach.known, reach.reporting, reach.requests, reach.answered) == (
        4000,
        100,
        EXCHANGES_PER_ZONE,
        EXCHANGES_PER_ZONE // 2,
    )
    assert traffic.zones(13.1)["a"].requests == 0 and traffic.zones(16.1)["a"].reporting == 0
    traffic.note_report("unknown", "i-1", 16.1)
    traffic.set_machines_on_record({})
    assert traffic.zones(16.1) == {}


def test_a_zone_is_idle_unless_one_of_its_workers_answered_recently() -> None:
    traffic = WorkerTraffic(3.0, 100)
    assert traffic.is_idle("a", 1.0, 1.0)
    traffic.note_exchange("a", False, 1.0)
    assert traffic.is_idle("a", 1.5, 1.0), "failures don't count"
    traffic.note_exchange("a", True, 1.0)
    assert not traffic.is_idle("a", 1.5, 1.0) and traffic.is_idle("a", 2.5, 1.0)


def test_hosts_count_once_for_one_to_two_windows() -> None:
    recent = RecentHosts(3.0, 10)
    recent.add("a", 1.0)
    recent.add("a", 2.0)
    recent.add("b", 4.0)
    assert recent.count(5.0) == 2
    assert recent.count(7.5) == 1 and recent.count(20.0) == 0


@pytest.mark.parametrize(
    ("state_ok", "peers", "serves"),
    [
        (True, [PeerStatus(False, False)], True),
        (False, [PeerStatus(True, True), PeerStatus(False, False)], False),  # the state service serves another
        (False, [PeerStatus(True, False), PeerStatus(True, False)], True),  # an outage for all
        (False, [PeerStatus(False, False), PeerStatus(False, False)], False),  # cut off from everything
        (False, [], True),
    ],
)
def test_users_are_sent_elsewhere_only_if_they_are_served_better_there(
    state_ok: bool, peers: list[PeerStatus], serves: bool
) -> None:
    assert serves_users(state_ok, peers) is serves
