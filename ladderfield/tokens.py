"""Fencing tokens for workers: each epoch owns a range of numbers, of which its leader uses ever higher ones.

A worker refuses messages with a lower token than the highest one it has seen. A new epoch makes it refuse the orders of
earlier leaders; a higher token of the same epoch makes it refuse that leader's earlier orders, late copies included.
"""

from __future__ import annotations

from ladderfield.workers.report import EPOCH_LIMIT

TOKENS_PER_EPOCH = 4096
SINGLE_TOKEN_EPOCH = EPOCH_LIMIT // 2  # from here on an epoch has one token, so that the numbers last


def next_epoch(recorded: int) -> int:
    """The epoch that follows the recorded one; all its tokens are higher than that."""
    epoch = recorded + TOKENS_PER_EPOCH
    return epoch if epoch < SINGLE_TOKEN_EPOCH else max(recorded + 1, SINGLE_TOKEN_EPOCH)


def first_token(epoch: int) -> int:
    """The lowest token of an epoch; the highest is the epoch's own number."""
    return epoch if epoch >= SINGLE_TOKEN_EPOCH else max(1, epoch - TOKENS_PER_EPOCH + 1)
