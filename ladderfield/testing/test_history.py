"""The checker of histories finds each fault in a history that has it, and none in a good one."""

from __future__ import annotations

import pytest

from ladderfield.testing.history import Run, Told, faults

CANCEL_S, GRACE_S = 30.0, 2.0
GOOD_RUNS = [
    Run("req-1/0", "a", 1, 1.0, 5.0),
    Run("req-1/0", "b", 2, 5.0, 9.0),
    Run("req-2/0", "a", 3, 2.0, 20.0),
    Run("req-2/1", "a", 4, 11.5, 12.0),
]
GOOD_ANSWERS = [
    Told("req-1", 0.0, 0.5, 201, "queued"),
    Told("req-1", 8.0, 12.0, 200, "running"),
    Told("req-1", 9.5, 10.0, 200, "done"),
    Told("req-2", 0.0, 0.5, 201, "queued"),
    Told("req-2", 9.0, 10.0, 200, "cancelled"),
    Told("req-3", 0.0, 0.1, 404, ""),
    Told("req-3", 0.2, 0.3, 201, "queued"),
    Told("req-3", 0.2, 0.6, 503, ""),
]


def test_a_good_history_has_no_fault() -> None:
    assert faults(GOOD_RUNS, GOOD_ANSWERS, CANCEL_S, GRACE_S) == []


@pytest.mark.parametrize(
    ("rule", "runs", "answers"),
    [
        ("ran_twice", [Run("req-1/0", "c", 9, 4.9, 5.0)], []),
        ("ran_twice", [Run("req-1/0", "a", 9, 2.0, 3.0)], []),
        ("started_cancelled", [Run("req-2/2", "c", 9, 12.5, 13.0)], []),
        ("ran_cancelled", [Run("req-2/2", "c", 9, 3.0, 41.0)], []),
        ("ran_cancelled", [Run("req-2/2", "c", 9, 3.0)], []),
        ("two_finals", [], [Told("req-1", 10.0, 11.0, 200, "cancelled")]),
        ("went_back", [], [Told("req-1", 10.5, 11.0, 200, "running")]),
        ("went_back", [], [Told("req-2", 10.5, 11.0, 200, "queued")]),
        ("forgotten", [], [Told("req-1", 1.0, 2.0, 404, "")]),
        ("forgotten", [], [Told("req-1", 1.0, 2.0, 422, "")]),
        ("not_done", [Run("req-1/1", "c", 9, 3.0, 30.0)], []),
    ],
)
def test_each_fault_is_found(rule: str, runs: list[Run], answers: list[Told]) -> None:
    found = faults(GOOD_RUNS + runs, GOOD_ANSWERS + answers, CANCEL_S, GRACE_S)
    assert rule in {fault.rule for fault in found}
