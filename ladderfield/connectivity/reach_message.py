"""What controllers say to each other of their reach: the body of a frame over ``back``, in both directions.

    layout B | epoch Q | state service serves B | machines known I, heard I | exchanges begun I, answered I | name

What it says gives its sender no right. It makes others stand back for a bounded time, so it is checked all the same.
"""

from __future__ import annotations

import struct
from collections.abc import Collection
from typing import NamedTuple

from ladderfield.connectivity.worker_reach import SAMPLES, ZoneReach

BODY = struct.Struct("!BQBIIII")
LAYOUT = 1
NAME_MOST = 256  # bytes
FLEET_FACTOR, FLEET_SLACK = 2, 256  # views of the fleet differ by no more than this: factor, and machines


class ReachMessageError(ValueError):
    """Not what a controller of this cluster says of its reach."""


class StaleReachError(ReachMessageError):
    """Its sender has not seen the last change of leader yet, as happens for a moment after each."""


class ReachMessage(NamedTuple):
    """One controller's reach."""

    member: str
    epoch: int  # the highest that it knows
    state_ok: bool
    reach: ZoneReach

    def pack(self) -> bytes:
        """Its bytes."""
        return BODY.pack(LAYOUT, self.epoch, self.state_ok, *self.reach) + self.member.encode()


def parse(body: bytes) -> ReachMessage:
    """The message, or ReachMessageError."""
    if not BODY.size < len(body) <= BODY.size + NAME_MOST:
        raise ReachMessageError(f"{len(body)} bytes")
    layout, epoch, state_ok, *counts = BODY.unpack_from(body)
    if layout != LAYOUT or state_ok > 1:
        raise ReachMessageError(f"layout {layout}, state {state_ok}")
    reach = ZoneReach(*counts)
    if reach.heard > reach.known or reach.answered > reach.asked:
        raise ReachMessageError(f"more than all: {reach}")
    try:
        member = body[BODY.size :].decode()
    except UnicodeDecodeError:
        raise ReachMessageError("its sender has no name") from None
    return ReachMessage(member, epoch, bool(state_ok), reach)


def check(message: ReachMessage, members: Collection[str], zones: int, epoch: int, known: int) -> None:
    """Raise ReachMessageError for what can't be so, as far as is known here.

    ``known`` is the number of machines that we know of, ``epoch`` the highest that we know.
    """
    if message.member not in members:
        raise ReachMessageError(f"unknown controller {message.member!r}")
    if message.epoch < epoch:
        raise StaleReachError(f"{message.member}: epoch {message.epoch} is over")
    if message.reach.known > FLEET_FACTOR * known + FLEET_SLACK:
        raise ReachMessageError(f"{message.member}: {message.reach.known} machines are beyond the fleet")
    if message.reach.asked > SAMPLES * max(1, zones):
        raise ReachMessageError(f"{message.member}: {message.reach.asked} exchanges are more than anybody keeps")
