"""Links one by one, and workers by zone and share."""

from __future__ import annotations

import pytest

from ladderfield.connectivity.authority import Condition
from ladderfield.connectivity.links import Exchange, LinkHistory, LinkState, exchange_of
from ladderfield.connectivity.reachability import PeerStatus, Reachability, Side, takes_users
from ladderfield.connectivity.worker_reach import (
    SAMPLES,
    Directions,
    RecentHosts,
    WorkerTraffic,
    ZoneReach,
    judge,
    judge_follower,
)

REPORT_S, LEASE_S = 2.0, 12.0
NOT_CUT, CUT = Directions(), Directions(True, True)


def reachability(most: int = 5000) -> Reachability:
    return Reachability(REPORT_S, LEASE_S, most)


def facts(link: LinkHistory) -> tuple[LinkState, float]:
    return link.state, link.since


def test_a_link_is_cut_after_failures_in_a_row_that_last() -> None:
    link = LinkHistory(1.0)
    assert not link.note(Exchange.LOST, 1.0) and not link.note(Exchange.LOST, 1.5)
    assert facts(link)[0] is LinkState.OPEN, "two within a moment may be one hiccup"
    assert link.note(Exchange.LOST, 2.0)
    assert facts(link) == (LinkState.CUT, 1.0) and link.last_failure == 2.0
    assert not link.note(Exchange.ANSWERED, 3.0) and facts(link)[0] is LinkState.CUT, "one answer may be a late one"
    assert link.note(Exchange.ANSWERED, 3.1)
    assert facts(link) == (LinkState.OPEN, 3.0) and link.last_success == 3.1


def test_answers_between_failures_keep_a_link_open_and_failures_keep_it_cut() -> None:
    link = LinkHistory(1.0)
    for now in range(20):
        link.note(Exchange.LOST if now % 2 else Exchange.ANSWERED, float(now))
        assert link.state is LinkState.OPEN
    for now in range(20, 40):
        link.note(Exchange.ANSWERED if now % 3 == 2 else Exchange.LOST, float(now))
    assert link.state is LinkState.CUT


def test_a_refusal_of_what_was_asked_is_an_answer_and_503_is_no_silence() -> None:
    assert exchange_of(429) is exchange_of(409) is Exchange.ANSWERED
    link = LinkHistory(1.0)
    for now in range(3):
        link.note(exchange_of(503), float(now))
    assert link.state is LinkState.UNAVAILABLE
    link.note(Exchange.LOST, 4.0)
    assert (link.state, link.since) == (LinkState.CUT, 0.0), "the spell goes on"


def test_the_condition_follows_the_state_service_and_the_reports() -> None:
    one = reachability()
    for now in range(3):
        one.note(Side.STATE_WRITE, Exchange.LOST, float(now))
    assert one.condition() is Condition.WITHOUT_STATE
    one.cut = Directions(inward=True)
    assert one.condition() is Condition.ISOLATED
    for now in range(3, 6):
        one.note(Side.STATE_WRITE, Exchange.ANSWERED, float(now))
    assert one.condition() is Condition.WITHOUT_WORKERS
    one.cut = Directions(outward=True)
    assert one.condition() is Condition.FULL, "orders go with the answers to reports"


@pytest.mark.parametrize(
    ("zones", "cut"),
    [
        ({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 1, 8, 0)}, CUT),
        ({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 10, 8, 8)}, NOT_CUT),  # a lost zone
        ({"a": ZoneReach(100, 90, 8, 7)}, NOT_CUT),  # ten bad machines
        ({"a": ZoneReach(10, 0, 8, 8)}, NOT_CUT),  # workers that stayed where they were after a change of leader
        ({"a": ZoneReach(10, 10, 8, 0)}, Directions(outward=True)),  # the reverse
        ({"a": ZoneReach(2, 0, 2, 0)}, NOT_CUT),  # too few to tell
        ({"a": ZoneReach()}, NOT_CUT),  # still booting
        ({}, NOT_CUT),  # empty
        ({"a": ZoneReach(4000, 400, 8, 0)}, CUT),
        ({"a": ZoneReach(4000, 401, 8, 1)}, NOT_CUT),
    ],
)
def test_a_controller_is_cut_off_if_nearly_no_worker_of_any_zone_gets_through(
    zones: dict[str, ZoneReach], cut: Directions
) -> None:
    assert judge(zones, NOT_CUT) == cut


def test_where_orders_go_out_workers_must_have_come_back_for_a_cut() -> None:
    zones = {"a": ZoneReach(10, 0, 8, 8)}
    assert judge(zones, NOT_CUT, came_back=4) == NOT_CUT
    assert judge(zones, NOT_CUT, came_back=5) == Directions(inward=True)
    assert judge(zones, Directions(inward=True)) == NOT_CUT, "nobody tells of it any more"
    assert judge({"a": ZoneReach(10, 9, 8, 8)}, NOT_CUT, came_back=9) == NOT_CUT, "they are here again"


def test_what_ends_a_cut_is_far_from_what_makes_one() -> None:
    some = {"a": ZoneReach(10, 5, 8, 4)}
    assert judge(some, NOT_CUT) == NOT_CUT and judge(some, CUT) == CUT
    assert judge({"a": ZoneReach(10, 6, 8, 5)}, CUT) == NOT_CUT
    assert judge({"a": ZoneReach(10, 0, 8, 0), "b": ZoneReach(10, 9, 8, 8)}, CUT) == NOT_CUT


def test_a_follower_to_which_nobody_needs_to_report_is_not_cut_off() -> None:
    assert judge_follower({"a": ZoneReach(10, 0, 8, 8)}, NOT_CUT) == NOT_CUT
    assert judge_follower({"a": ZoneReach(10, 0, 8, 0)}, NOT_CUT) == CUT
    assert judge_follower({"a": ZoneReach(10, 4, 8, 0)}, NOT_CUT) == Directions(outward=True)


def test_a_process_that_stood_still_does_not_take_its_own_silence_for_a_cut() -> None:
    one = reachability()
    for stall_s, cut in ((0.0, True), (2 * REPORT_S, False)):
        one.look(0.0, 1.0)
        one.workers.counted({"a": (10, 0)})
        one.look(1.0 + stall_s, 1.0, came_back=10)
        assert one.cut.inward is cut
        one.cut, one._looked_at, one._judged_from = NOT_CUT, None, 0.0


def test_silence_counts_again_a_lease_after_the_cut() -> None:
    one = reachability()
    one.workers.counted({"a": (10, 0)})
    one.look(5.0, 1.0, came_back=10)
    status = one.status()
    assert (status.condition, status.silence_counts_from) == (Condition.WITHOUT_WORKERS, 5.0 + LEASE_S)


def test_traffic_with_workers_is_forgotten_after_its_window_and_bounded() -> None:
    traffic = WorkerTraffic(3.0, 100)
    traffic.recorded({"a": 4000})
    for number in range(4000):
        traffic.reported("a", f"i-{number:06d}", 10.0)
        traffic.asked("a", number % 2 == 0, 10.0)
    reach = traffic.zones(10.0)["a"]
    assert (reach.known, reach.heard, reach.asked, reach.answered) == (4000, 100, SAMPLES, SAMPLES // 2)
    assert traffic.zones(13.1)["a"].asked == 0 and traffic.zones(16.1)["a"].heard == 0
    traffic.reported("unknown", "i-1", 16.1)
    traffic.recorded({})
    assert traffic.zones(16.1) == {}


def test_a_zone_is_idle_unless_one_of_its_workers_answered_lately() -> None:
    traffic = WorkerTraffic(3.0, 100)
    assert traffic.idle("a", 1.0, 1.0)
    traffic.asked("a", False, 1.0)
    assert traffic.idle("a", 1.5, 1.0), "failures are no traffic"
    traffic.asked("a", True, 1.0)
    assert not traffic.idle("a", 1.5, 1.0) and traffic.idle("a", 2.5, 1.0)


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
        (False, [PeerStatus(True, True), PeerStatus(False, False)], False),  # the others are served
        (False, [PeerStatus(True, False), PeerStatus(True, False)], True),  # an outage for all
        (False, [PeerStatus(False, False), PeerStatus(False, False)], False),  # alone
        (False, [], True),
    ],
)
def test_users_go_elsewhere_only_if_they_fare_better_there(
    state_ok: bool, peers: list[PeerStatus], serves: bool
) -> None:
    assert takes_users(state_ok, peers) is serves
