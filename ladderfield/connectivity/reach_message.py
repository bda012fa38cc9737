"""The reach messages between controllers: the body of a frame over ``back``, the same in both directions.

    layout B | epoch Q | state service serves B | machines known I, reporting I | exchanges begun I, answered I | name

A message gives its sender no right. It makes other candidates wait for a bounded time, so it is checked all the same.
"""

from __future__ import annotations

import struct
from collections.abc import Collection
from typing import NamedTuple

from ladderfield.connectivity.worker_reach import EXCHANGES_PER_ZONE, ZoneReach

BODY = struct.Struct("!BQBIIII")
LAYOUT = 1
MAX_NAME_BYTES = 256
FLEET_FACTOR, FLEET_SLACK_MACHINES = 2, 256  # controllers' counts of the fleet differ by no more


class ReachMessageError(ValueError):
    """Not a valid reach message of a controller of this cluster."""


class StaleReachError(ReachMessageError):
    """The sender has not seen the latest change of leader yet, as happens for a moment after each."""


class ReachMessage(NamedTuple):
    """The reach of one controller."""

    member: str
    epoch: int  # the highest that the sender knows
    state_ok: bool
    reach: ZoneReach

    def pack(self) -> bytes:
        """Encode the message."""
        return BODY.pack(LAYOUT, self.epoch, self.state_ok, *self.reach) + self.member.encode()


def parse(body: bytes) -> ReachMessage:
    """Decode a message, or raise ReachMessageError."""
    if not BODY.size < len(body) <= BODY.size + MAX_NAME_BYTES:
        raise ReachMessageError(f"invalid length of {len(body)} bytes")
    layout, epoch, state_ok, *counts = BODY.unpack_from(body)
    if layout != LAYOUT or state_ok > 1:
        raise ReachMessageError(f"invalid layout {layout} or state flag {state_ok}")
    reach = ZoneReach(*counts)
    if reach.reporting > reach.known or reach.answered > reach.requests:
        raise ReachMessageError(f"counts exceed their totals: {reach}")
    try:
        member = body[BODY.size :].decode()
    except UnicodeDecodeError:
        raise ReachMessageError("the name of the sender is not UTF-8") from None
    return ReachMessage(member, epoch, bool(state_ok), reach)


def check(message: ReachMessage, members: Collection[str], zones: int, epoch: int, known: int) -> None:
    """Raise ReachMessageError for a message that can't be true, as far as is known here.

    ``known`` is the number of machines known here, ``epoch`` the highest epoch known here.
    """
    if message.member not in members:
        raise ReachMessageError(f"unknown controller {message.member!r}")
    if message.epoch < epoch:
        raise StaleReachError(f"{message.member}: epoch {message.epoch} has ended")
    if message.reach.known > FLEET_FACTOR * known + FLEET_SLACK_MACHINES:
        raise ReachMessageError(f"{message.member}: {message.reach.known} machines are more than the fleet has")
    if message.reach.requests > EXCHANGES_PER_ZONE * max(1, zones):
        raise ReachMessageError(
            f"{message.member}: {message.reach.requests} exchanges are more than a controller keeps"
        )
