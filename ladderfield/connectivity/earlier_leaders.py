"""Leaders before this one that may still answer workers' reports."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from ladderfield.settings import Peer

log = logging.getLogger(__name__)


class EarlierLeaders:
    """Until when any of them may answer, and in which zones they stood. Times on the leader's steady clock."""

    def __init__(self, until: float, zones: Mapping[str, float] | None = None) -> None:
        self.until = until
        self.zones = dict(zones or {})  # zone -> until when a leader that stood there may answer

    @classmethod
    def of(cls, until: float, before: Mapping[str, float], peers: Iterable[Peer], wall_offset: float) -> EarlierLeaders:
        """From the epoch's record, whose times are of day."""
        zones = {peer.location: before[peer.member] - wall_offset for peer in peers if peer.member in before}
        return cls(until, zones)

    def none_left(self, epoch: int, now: float) -> None:
        """All other controllers have said, since our term began, that they are not leader: no one else answers."""
        if now < self.until:
            log.info("epoch %d: no earlier leader is left", epoch)
            self.until = now
