"""Ranges of tokens: no two terms share one, whichever versions their leaders run."""

from __future__ import annotations

from random import Random

import pytest

from ladderfield.tokens import SINGLE_TOKEN_EPOCH, TOKENS_PER_EPOCH, first_token, next_epoch


@pytest.mark.parametrize("start", [0, 6, SINGLE_TOKEN_EPOCH - 3 * TOKENS_PER_EPOCH - 1, SINGLE_TOKEN_EPOCH - 1])
def test_tokens_of_a_term_are_above_all_recorded_before_it_by_either_version(start: int) -> None:
    random, recorded = Random(start), start
    for _ in range(50):
        if random.random() < 0.5:
            recorded += 1  # the version before: the epoch is the leader's one token
            continue
        epoch = next_epoch(recorded)
        assert recorded < first_token(epoch) <= epoch
        recorded = epoch


def test_epochs_go_on_with_one_token_each_where_ranges_would_use_up_the_numbers() -> None:
    last_range = next_epoch(SINGLE_TOKEN_EPOCH - TOKENS_PER_EPOCH - 1)
    assert first_token(last_range) == last_range - TOKENS_PER_EPOCH + 1
    assert next_epoch(last_range) == SINGLE_TOKEN_EPOCH == first_token(SINGLE_TOKEN_EPOCH)
    assert next_epoch(SINGLE_TOKEN_EPOCH) == SINGLE_TOKEN_EPOCH + 1
