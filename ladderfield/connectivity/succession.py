"""Whether a leader should make way for a controller that reaches more workers, and who lets whom go first.

No clock and no I/O. Nothing here gives anybody a right: leadership stays with whoever holds the lease, and a candidate
only waits, for a bounded time. If nobody has better reach, or nobody is known to, all is as without it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from ladderfield.connectivity.options import ReachOptions
from ladderfield.connectivity.worker_reach import FEW_SHARE, LEAST, Directions, ZoneReach

MOST_SHARE = 0.75  # of a peer's exchanges with workers: it reaches them
TIMES_MORE = 4  # as many machines that report there as here
WORD_S = 2.0  # of report_s: how long a peer's word counts


class PeerReach(NamedTuple):
    """What a peer said of its reach, and when that came."""

    reach: ZoneReach
    state_ok: bool
    at: float


def clearly_more(own: ZoneReach, cut: Directions, peer: PeerReach) -> bool:
    """Whether a peer that the state service serves reaches clearly more workers than we do."""
    reach = peer.reach
    if not peer.state_ok or reach.asked < LEAST or reach.answered < MOST_SHARE * reach.asked:
        return False
    if cut.outward or (own.asked >= LEAST and own.answered <= FEW_SHARE * own.asked):
        return True
    # Our orders go out, only reports don't come in. That others' questions are answered says nothing then.
    return cut.inward and reach.heard >= max(LEAST, TIMES_MORE * own.heard)


class Succession:
    """Decides on resignations and on standing back for one controller."""

    def __init__(self, options: ReachOptions, report_s: float) -> None:
        self.options, self.report_s = options, report_s
        self.peers: dict[str, PeerReach] = {}
        self.resigned_at = -math.inf

    def heard(self, member: str, word: PeerReach) -> None:
        """A peer has told its reach."""
        self.peers[member] = word

    def better_peer(self, own: ZoneReach, cut: Directions, now: float) -> str | None:
        """A peer that is known to reach clearly more workers."""
        fresh = _fresh(self.peers, now, WORD_S * self.report_s)
        better = [member for member, word in fresh.items() if clearly_more(own, cut, word)]
        return max(better, key=lambda member: (fresh[member].reach.heard, member), default=None)

    def came_back(self, now: float) -> int:
        """How many workers other controllers say can't reach the leader."""
        fresh = _fresh(self.peers, now, WORD_S * self.report_s)
        return sum(word.reach.heard for word in fresh.values())

    def should_resign(self, own: ZoneReach, cut: Directions, term_from: float, now: float) -> str | None:
        """For whom a leader should make way: only one that workers can't reach, and not before its minimum tenure."""
        if not cut.inward or now - term_from < self.options.minimum_tenure_s:
            return None
        return self.better_peer(own, cut, now)

    def stand_back_for(self, own: ZoneReach, cut: Directions, vacant_since: float, now: float) -> float:
        """How many seconds more a candidate lets others go first; 0 or less: it stands."""
        resigned = self.resigned_at >= vacant_since - self.options.stand_back_s
        unable = cut.inward or cut.outward
        if not resigned and not (unable and self.better_peer(own, cut, now) is not None):
            return 0.0
        return vacant_since + self.options.stand_back_s - now


def _fresh(peers: Mapping[str, PeerReach], now: float, for_s: float) -> dict[str, PeerReach]:
    return {member: word for member, word in peers.items() if now - word.at <= for_s}
