"""When a leader resigns and a candidate waits, the record of resignations, and the reach messages of controllers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from ladderfield.cli import main
from ladderfield.connectivity.options import ReachOptions, check
from ladderfield.connectivity.reach_message import BODY, LAYOUT, ReachMessage, ReachMessageError, parse
from ladderfield.connectivity.reach_message import check as check_message
from ladderfield.connectivity.resignations import RESET_AFTER_LEASES, ResignationHistory
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.connectivity.worker_reach import CutDirections, ZoneReach
from ladderfield.flags import FlagError
from ladderfield.testing import SETTINGS, settings

REPORT_S, LEASE_S, MINIMUM_TERM_S, CANDIDACY_DELAY_S = 2.0, 12.0, 12.0, 4.0
NO_REACH, FULL_REACH = ZoneReach(20, 0, 8, 0), ZoneReach(20, 5, 8, 8)
CUT, INBOUND_CUT, NOT_CUT = CutDirections(True, True), CutDirections(inbound=True), CutDirections()


def with_peer(peer_reach: ZoneReach = FULL_REACH, state_ok: bool = True, at: float = 100.0) -> Succession:
    succession = Succession(ReachOptions(MINIMUM_TERM_S, CANDIDACY_DELAY_S), REPORT_S)
    succession.note_peer("n1", PeerReach(peer_reach, state_ok, at))
    return succession


def test_a_leader_that_no_worker_reaches_resigns_for_a_peer_that_reaches_them() -> None:
    assert with_peer().should_resign(NO_REACH, CUT, 50.0, 100.0) == "n1"


@pytest.mark.parametrize(
    ("succession", "own", "cut", "term_from"),
    [
        (with_peer(), FULL_REACH, NOT_CUT, 50.0),  # it reaches them itself
        (with_peer(), ZoneReach(20, 20, 8, 0), CutDirections(outbound=True), 50.0),  # reports arrive
        (with_peer(), NO_REACH, CUT, 100.0 - MINIMUM_TERM_S + 0.1),  # before its minimum term is over
        (with_peer(state_ok=False), NO_REACH, CUT, 50.0),  # the state service does not serve the peer
        (with_peer(at=95.9), NO_REACH, CUT, 50.0),  # its message is old
        (with_peer(NO_REACH), NO_REACH, CUT, 50.0),  # it reaches no more workers
        (with_peer(ZoneReach(20, 0, 2, 2)), NO_REACH, CUT, 50.0),  # too few exchanges to judge
        (with_peer(ZoneReach(20, 0, 8, 5)), NO_REACH, CUT, 50.0),  # not clearly more
        (with_peer(ZoneReach(20, 0, 8, 8)), ZoneReach(20, 0, 8, 8), INBOUND_CUT, 50.0),  # reports may not arrive there
        # No peer has sent a message.
        (Succession(ReachOptions(MINIMUM_TERM_S, CANDIDACY_DELAY_S), REPORT_S), NO_REACH, CUT, 50.0),
    ],
)
def test_a_leader_stays_without_a_clearly_better_peer(
    succession: Succession, own: ZoneReach, cut: CutDirections, term_from: float
) -> None:
    assert succession.should_resign(own, cut, term_from, 100.0) is None


def test_if_only_reports_fail_to_arrive_the_peer_must_receive_them() -> None:
    own = ZoneReach(20, 1, 8, 8)
    assert with_peer(ZoneReach(20, 5, 8, 8)).should_resign(own, INBOUND_CUT, 50.0, 100.0) == "n1"
    assert with_peer(ZoneReach(20, 3, 8, 8)).should_resign(own, INBOUND_CUT, 50.0, 100.0) is None


def test_a_candidate_without_reach_waits_for_a_bounded_time_only() -> None:
    succession = with_peer()
    assert succession.remaining_candidacy_delay_s(NO_REACH, CUT, 99.0, 100.0) == pytest.approx(CANDIDACY_DELAY_S - 1.0)
    assert succession.remaining_candidacy_delay_s(NO_REACH, CUT, 90.0, 100.0) < 0, "the delay ends"
    assert succession.remaining_candidacy_delay_s(FULL_REACH, NOT_CUT, 99.0, 100.0) == 0.0
    assert with_peer(NO_REACH).remaining_candidacy_delay_s(NO_REACH, CUT, 99.0, 100.0) == 0.0, (
        "no peer has better reach"
    )


def test_a_resigned_leader_waits_in_one_election_whatever_others_report() -> None:
    succession = Succession(ReachOptions(MINIMUM_TERM_S, CANDIDACY_DELAY_S), REPORT_S)
    succession.resigned_at = 99.0
    assert succession.remaining_candidacy_delay_s(FULL_REACH, NOT_CUT, 99.5, 100.0) > 0
    assert succession.remaining_candidacy_delay_s(FULL_REACH, NOT_CUT, 99.5, 104.0) < 0
    assert succession.remaining_candidacy_delay_s(FULL_REACH, NOT_CUT, 140.0, 140.0) == 0.0, (
        "in a later election it does not wait"
    )


def test_the_pause_between_resignations_doubles_and_is_reset() -> None:
    history = ResignationHistory(LEASE_S)
    value: Any = None
    pauses = []
    for _ in range(6):
        value = history.next(value, "n0", 1000.0)
        pauses.append((history.not_before(value, 1000.0) - 1000.0) / LEASE_S)
    assert pauses == [1, 2, 4, 8, 8, 8]
    later = 1000.0 + RESET_AFTER_LEASES * LEASE_S + 1
    assert history.not_before(value, later) == 0.0 and history.next(value, "n0", later)["count"] == 1


@pytest.mark.parametrize(
    "value", [3, {}, {"member": "n0"}, {"member": 1, "at": 1.0, "count": 1}, {"member": "n0", "at": 1.0, "count": 0},
              {"member": "n0", "at": 1.0, "count": 2**40}, "x" * 100]
)  # fmt: skip
def test_an_unusable_record_of_resignations_is_ignored(value: Any) -> None:
    assert ResignationHistory(LEASE_S).not_before(value, 1000.0) == 0.0
    assert ResignationHistory(LEASE_S).next(value, "n0", 1000.0)["count"] == 1


def test_a_record_from_the_future_counts_as_of_now() -> None:
    value = {"member": "n0", "at": 9e9, "count": 1}
    assert ResignationHistory(LEASE_S).not_before(value, 1000.0) == 1000.0 + LEASE_S


def test_a_reach_message_survives_encoding_and_decoding() -> None:
    message = ReachMessage("n1", 7, True, FULL_REACH)
    assert parse(message.pack()) == message


@pytest.mark.parametrize(
    "body",
    [
        b"", BODY.pack(LAYOUT, 7, 1, 1, 1, 1, 1), BODY.pack(LAYOUT + 1, 7, 1, 1, 1, 1, 1) + b"n1",
        BODY.pack(LAYOUT, 7, 2, 1, 1, 1, 1) + b"n1", BODY.pack(LAYOUT, 7, 1, 1, 2, 1, 1) + b"n1",
        BODY.pack(LAYOUT, 7, 1, 1, 1, 1, 2) + b"n1", BODY.pack(LAYOUT, 7, 1, 1, 1, 1, 1) + b"\xff\xfe",
        BODY.pack(LAYOUT, 7, 1, 1, 1, 1, 1) + b"n" * 257,
    ],
)  # fmt: skip
def test_a_malformed_reach_message_is_rejected(body: bytes) -> None:
    with pytest.raises(ReachMessageError):
        parse(body)


@pytest.mark.parametrize(
    "message",
    [
        ReachMessage("n7", 7, True, FULL_REACH),  # unknown sender
        ReachMessage("n1", 6, True, FULL_REACH),  # of an earlier epoch
        ReachMessage("n1", 7, True, ZoneReach(4000, 4000, 8, 8)),  # more machines than the fleet has
        ReachMessage("n1", 7, True, ZoneReach(20, 5, 40, 40)),  # more exchanges than a controller keeps
    ],
)
def test_an_implausible_reach_message_is_rejected(message: ReachMessage) -> None:
    check_message(ReachMessage("n1", 7, True, FULL_REACH), {"n1", "n2"}, 2, 7, 20)
    with pytest.raises(ReachMessageError):
        check_message(message, {"n1", "n2"}, 2, 7, 20)


def test_flag_defaults_follow_the_lease_and_report_times() -> None:
    workers = settings().cluster.workers
    assert check(True, None, None, workers) == ReachOptions(LEASE_S, 2 * REPORT_S)
    assert check(False, None, None, workers) is None
    assert check(True, 20.0, 6.0, workers) == ReachOptions(20.0, 6.0)


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        (["--minimum-tenure", "5"], "--minimum-tenure"),
        (["--stand-back", "5"], "--stand-back"),
        (["--leadership-by-reach", "--minimum-tenure", "0"], "--minimum-tenure"),
        (["--leadership-by-reach", "--minimum-tenure", "nan"], "--minimum-tenure"),
        (["--leadership-by-reach", "--minimum-tenure", "3601"], "--minimum-tenure"),
        (["--leadership-by-reach", "--stand-back", "6.1"], "--stand-back"),
        (["--leadership-by-reach", "--stand-back", "-1"], "--stand-back"),
    ],
)
def test_a_flag_out_of_range_ends_the_program_with_one_line(tmp_path: Path, flags: list[str], named: str) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(SETTINGS))
    result = CliRunner().invoke(main, ["serve", "--config", str(path), *flags])
    assert result.exit_code == 2 and named in result.output and len(result.output.strip().splitlines()) == 1
    with pytest.raises(FlagError):
        check(True, -1.0, None, settings().cluster.workers)
