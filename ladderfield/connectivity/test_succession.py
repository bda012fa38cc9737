"""Who makes way for whom, what is on record of it, and what controllers may say of their reach."""

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
from ladderfield.connectivity.resignations import FORGET_AFTER, ResignationHistory
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.connectivity.worker_reach import Directions, ZoneReach
from ladderfield.flags import FlagError
from ladderfield.testing import SETTINGS, settings

REPORT_S, LEASE_S, TENURE_S, STAND_BACK_S = 2.0, 12.0, 12.0, 4.0
NOTHING, ALL = ZoneReach(20, 0, 8, 0), ZoneReach(20, 5, 8, 8)
CUT, INWARD, WHOLE = Directions(True, True), Directions(inward=True), Directions()


def succession(word: ZoneReach = ALL, state_ok: bool = True, at: float = 100.0) -> Succession:
    one = Succession(ReachOptions(TENURE_S, STAND_BACK_S), REPORT_S)
    one.heard("n1", PeerReach(word, state_ok, at))
    return one


def test_a_leader_that_no_worker_reaches_makes_way_for_a_peer_that_reaches_them() -> None:
    assert succession().should_resign(NOTHING, CUT, 50.0, 100.0) == "n1"


@pytest.mark.parametrize(
    ("one", "own", "cut", "term_from"),
    [
        (succession(), ALL, WHOLE, 50.0),  # it reaches them itself
        (succession(), ZoneReach(20, 20, 8, 0), Directions(outward=True), 50.0),  # reports come in
        (succession(), NOTHING, CUT, 100.0 - TENURE_S + 0.1),  # not long in office
        (succession(state_ok=False), NOTHING, CUT, 50.0),  # the peer has no state service
        (succession(at=95.9), NOTHING, CUT, 50.0),  # its word is old
        (succession(NOTHING), NOTHING, CUT, 50.0),  # it is no better off
        (succession(ZoneReach(20, 0, 2, 2)), NOTHING, CUT, 50.0),  # too little to tell
        (succession(ZoneReach(20, 0, 8, 5)), NOTHING, CUT, 50.0),  # not clearly more
        (succession(ZoneReach(20, 0, 8, 8)), ZoneReach(20, 0, 8, 8), INWARD, 50.0),  # reports may not come in there
        (Succession(ReachOptions(TENURE_S, STAND_BACK_S), REPORT_S), NOTHING, CUT, 50.0),  # nobody told anything
    ],
)
def test_else_it_stays(one: Succession, own: ZoneReach, cut: Directions, term_from: float) -> None:
    assert one.should_resign(own, cut, term_from, 100.0) is None


def test_where_only_reports_do_not_come_in_the_peer_has_to_have_them() -> None:
    own = ZoneReach(20, 1, 8, 8)
    assert succession(ZoneReach(20, 5, 8, 8)).should_resign(own, INWARD, 50.0, 100.0) == "n1"
    assert succession(ZoneReach(20, 3, 8, 8)).should_resign(own, INWARD, 50.0, 100.0) is None


def test_a_candidate_without_reach_stands_back_for_a_bounded_time_only() -> None:
    one = succession()
    assert one.stand_back_for(NOTHING, CUT, 99.0, 100.0) == pytest.approx(STAND_BACK_S - 1.0)
    assert one.stand_back_for(NOTHING, CUT, 90.0, 100.0) < 0, "never for ever"
    assert one.stand_back_for(ALL, WHOLE, 99.0, 100.0) == 0.0
    assert succession(NOTHING).stand_back_for(NOTHING, CUT, 99.0, 100.0) == 0.0, "nobody has better reach"


def test_who_resigned_stands_back_once_whatever_others_say() -> None:
    one = Succession(ReachOptions(TENURE_S, STAND_BACK_S), REPORT_S)
    one.resigned_at = 99.0
    assert one.stand_back_for(ALL, WHOLE, 99.5, 100.0) > 0
    assert one.stand_back_for(ALL, WHOLE, 99.5, 104.0) < 0
    assert one.stand_back_for(ALL, WHOLE, 140.0, 140.0) == 0.0, "at a later election it is as any other"


def test_the_pause_between_resignations_doubles_and_is_forgotten() -> None:
    history = ResignationHistory(LEASE_S)
    value: Any = None
    pauses = []
    for _ in range(6):
        value = history.next(value, "n0", 1000.0)
        pauses.append((history.not_before(value, 1000.0) - 1000.0) / LEASE_S)
    assert pauses == [1, 2, 4, 8, 8, 8]
    later = 1000.0 + FORGET_AFTER * LEASE_S + 1
    assert history.not_before(value, later) == 0.0 and history.next(value, "n0", later)["count"] == 1


@pytest.mark.parametrize(
    "value", [3, {}, {"member": "n0"}, {"member": 1, "at": 1.0, "count": 1}, {"member": "n0", "at": 1.0, "count": 0},
              {"member": "n0", "at": 1.0, "count": 2**40}, "x" * 100]
)  # fmt: skip
def test_a_record_that_can_not_be_used_is_ignored(value: Any) -> None:
    assert ResignationHistory(LEASE_S).not_before(value, 1000.0) == 0.0
    assert ResignationHistory(LEASE_S).next(value, "n0", 1000.0)["count"] == 1


def test_a_record_from_the_future_counts_as_of_now() -> None:
    value = {"member": "n0", "at": 9e9, "count": 1}
    assert ResignationHistory(LEASE_S).not_before(value, 1000.0) == 1000.0 + LEASE_S


def test_a_message_of_reach_comes_back_as_it_was() -> None:
    message = ReachMessage("n1", 7, True, ALL)
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
def test_a_malformed_message_is_refused(body: bytes) -> None:
    with pytest.raises(ReachMessageError):
        parse(body)


@pytest.mark.parametrize(
    "message",
    [
        ReachMessage("n7", 7, True, ALL),  # unknown
        ReachMessage("n1", 6, True, ALL),  # of an earlier epoch
        ReachMessage("n1", 7, True, ZoneReach(4000, 4000, 8, 8)),  # beyond the fleet
        ReachMessage("n1", 7, True, ZoneReach(20, 5, 40, 40)),  # more than anybody keeps
    ],
)
def test_a_message_that_can_not_be_so_is_refused(message: ReachMessage) -> None:
    check_message(ReachMessage("n1", 7, True, ALL), {"n1", "n2"}, 2, 7, 20)
    with pytest.raises(ReachMessageError):
        check_message(message, {"n1", "n2"}, 2, 7, 20)


def test_flags_have_defaults_in_ratio_to_the_pace() -> None:
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
