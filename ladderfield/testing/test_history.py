"""The history checker finds every kind of violation, and none in a valid history."""

from __future__ import annotations

import pytest

from ladderfield.testing.history import Answer, Run, find_violations

CANCEL_S, GRACE_S = 30.0, 2.0
VALID_RUNS = [
    Run("req-1/0", "a", 1, 1.0, 5.0),
    Run("req-1/0", "b", 2, 5.0, 9.0),
    Run("req-2/0", "a", 3, 2.0, 20.0),
    Run("req-2/1", "a", 4, 11.5, 12.0),
]
VALID_ANSWERS = [
    Answer("req-1", 0.0, 0.5, 201, "queued"),
    Answer("req-1", 8.0, 12.0, 200, "running"),
    Answer("req-1", 9.5, 10.0, 200, "done"),
    Answer("req-2", 0.0, 0.5, 201, "queued"),
    Answer("req-2", 9.0, 10.0, 200, "cancelled"),
    Answer("req-3", 0.0, 0.1, 404, ""),
    Answer("req-3", 0.2, 0.3, 201, "queued"),
    Answer("req-3", 0.2, 0.6, 503, ""),
]


def test_valid_history_has_no_violations() -> None:
    assert find_violations(VALID_RUNS, VALID_ANSWERS, CANCEL_S, GRACE_S) == []


@pytest.mark.parametrize(
    ("rule", "runs", "answers"),
    [
        ("ran_twice", [Run("req-1/0", "c", 9, 4.9, 5.0)], []),
        ("ran_twice", [Run("req-1/0", "a", 9, 2.0, 3.0)], []),
        ("started_cancelled", [Run("req-2/2", "c", 9, 12.5, 13.0)], []),
        ("ran_cancelled", [Run("req-2/2", "c", 9, 3.0, 41.0)], []),
        ("ran_cancelled", [Run("req-2/2", "c", 9, 3.0)], []),
        ("two_finals", [], [Answer("req-1", 10.0, 11.0, 200, "cancelled")]),
        ("went_back", [], [Answer("req-1", 10.5, 11.0, 200, "running")]),
        ("went_back", [], [Answer("req-2", 10.5, 11.0, 200, "queued")]),
        ("forgotten", [], [Answer("req-1", 1.0, 2.0, 404, "")]),
        ("forgotten", [], [Answer("req-1", 1.0, 2.0, 422, "")]),
        ("not_done", [Run("req-1/1", "c", 9, 3.0, 30.0)], []),
    ],
)
def test_every_kind_of_violation_is_found(rule: str, runs: list[Run], answers: list[Answer]) -> None:
    found = find_violations(VALID_RUNS + runs, VALID_ANSWERS + answers, CANCEL_S, GRACE_S)
    assert rule in {violation.rule for violation in found}
