"""Earlier leaders that may still answer workers' reports."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from ladderfield.settings import Peer

log = logging.getLogger(__name__)


class EarlierLeaders:
    """Until when any earlier leader may answer, and in which zones they run. Times on the leader's steady clock."""

    def __init__(self, until: float, zones: Mapping[str, float] | None = None) -> None:
        self.until = until
        self.zones = dict(zones or {})  # zone -> until when a leader that ran there may answer

    @classmethod
    def from_record(
        cls, until: float, earlier_leaders: Mapping[str, float], peers: Iterable[Peer], wall_offset: float
    ) -> EarlierLeaders:
        """Read from the epoch's record, whose times are times of day."""
        zones = {
            peer.location: earlier_leaders[peer.member] - wall_offset
            for peer in peers
            if peer.member in earlier_leaders
        }
        return cls(until, zones)

    def confirm_none_left(self, epoch: int, now: float) -> None:
        """All other controllers have said, since this term began, that they are not leader: no other answers."""
        if now < self.until:
            log.info("epoch %d: no earlier leader answers reports any more", epoch)
            self.until = now
