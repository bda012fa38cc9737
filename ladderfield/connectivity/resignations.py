"""The record of recent resignations, which outlives a change of leader and keeps leadership from changing too often.

It only makes a leader stay longer. A malformed or outdated record is ignored; earlier versions ignore its key.
"""

from __future__ import annotations

import logging
from typing import Annotated, Any

import msgspec

log = logging.getLogger(__name__)

RESIGNATIONS = "lf/resignations"
RESET_AFTER_LEASES = 10.0  # without a resignation: then the count begins anew
MAX_DOUBLINGS = 3  # of the pause between two resignations


class ResignationValue(msgspec.Struct, frozen=True):
    """The record: who resigned last, at what time of day, and how many did without a long pause between."""

    member: str
    at: float
    count: Annotated[int, msgspec.Meta(ge=1, le=2**31)]


class ResignationHistory:
    """Reads and extends the record."""

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self._warned = False

    def read(self, value: Any, wall: float) -> ResignationValue | None:
        """The last resignation, with a time that is not in the future; None if there is no usable record."""
        if value is None:
            return None
        try:
            last = msgspec.convert(value, ResignationValue)
        except msgspec.ValidationError as error:
            if not self._warned:
                self._warned = True
                log.warning("ignoring the record of resignations: %s", error)
            return None
        last = msgspec.structs.replace(last, at=min(last.at, wall))
        return None if wall - last.at > RESET_AFTER_LEASES * self.lease_s else last

    def not_before(self, value: Any, wall: float) -> float:
        """The time of day before which nobody should resign: one lease after the last, doubled with each."""
        last = self.read(value, wall)
        if last is None:
            return 0.0
        pause = self.lease_s * float(2 ** min(last.count - 1, MAX_DOUBLINGS))
        return last.at + pause

    def next(self, value: Any, member: str, wall: float) -> dict[str, Any]:
        """The record after one more resignation."""
        last = self.read(value, wall)
        count = 1 if last is None else min(last.count + 1, MAX_DOUBLINGS + 1)
        resignation = ResignationValue(member, round(wall, 3), count)
        return dict(msgspec.to_builtins(resignation))
