"""Whether a leader should resign for a controller that reaches more workers, and which candidate lets others go first.

No clock and no I/O. Nothing here gives a controller any right: leadership stays with the holder of the lease, and a
candidate only waits, for a bounded time. If no controller is known to have better reach, nothing changes.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from ladderfield.connectivity.options import ReachOptions
from ladderfield.connectivity.worker_reach import CUT_SHARE, MIN_SAMPLES, CutDirections, ZoneReach

MIN_ANSWERED_SHARE = 0.75  # of a peer's exchanges with workers: then it reaches them
MIN_REPORTING_FACTOR = 4  # times as many machines report to the peer as here
PEER_REACH_REPORT_INTERVALS = 2.0  # how long what a peer sent counts


class PeerReach(NamedTuple):
    """What a peer last sent of its reach, and when it arrived."""

    reach: ZoneReach
    state_ok: bool
    at: float


def reaches_clearly_more(own: ZoneReach, cut: CutDirections, peer: PeerReach) -> bool:
    """Whether a peer that the state service serves reaches clearly more workers than this controller."""
    reach = peer.reach
    if not peer.state_ok or reach.requests < MIN_SAMPLES or reach.answered < MIN_ANSWERED_SHARE * reach.requests:
        return False
    if cut.outbound or (own.requests >= MIN_SAMPLES and own.answered <= CUT_SHARE * own.requests):
        return True
    # Our orders arrive, only reports to us don't: that a peer's requests are answered proves nothing then.
    return cut.inbound and reach.reporting >= max(MIN_SAMPLES, MIN_REPORTING_FACTOR * own.reporting)


class Succession:
    """Decides on resignation, and on delaying a candidacy, for one controller."""

    def __init__(self, options: ReachOptions, report_s: float) -> None:
        self.options, self.report_s = options, report_s
        self.peers: dict[str, PeerReach] = {}
        self.resigned_at = -math.inf

    def note_peer(self, member: str, peer_reach: PeerReach) -> None:
        """Record what a peer has sent of its reach."""
        self.peers[member] = peer_reach

    def better_peer(self, own: ZoneReach, cut: CutDirections, now: float) -> str | None:
        """A peer that is known to reach clearly more workers."""
        recent = _recent(self.peers, now, PEER_REACH_REPORT_INTERVALS * self.report_s)
        better = [member for member, peer_reach in recent.items() if reaches_clearly_more(own, cut, peer_reach)]
        return max(better, key=lambda member: (recent[member].reach.reporting, member), default=None)

    def reporting_elsewhere(self, now: float) -> int:
        """How many workers can't reach the leader, as other controllers report."""
        recent = _recent(self.peers, now, PEER_REACH_REPORT_INTERVALS * self.report_s)
        return sum(peer_reach.reach.reporting for peer_reach in recent.values())

    def should_resign(self, own: ZoneReach, cut: CutDirections, term_from: float, now: float) -> str | None:
        """The peer for which a leader that workers can't reach should resign, once its minimum term is over."""
        if not cut.inbound or now - term_from < self.options.minimum_term_s:
            return None
        return self.better_peer(own, cut, now)

    def remaining_candidacy_delay_s(
        self, own: ZoneReach, cut: CutDirections, no_leader_since: float, now: float
    ) -> float:
        """How many seconds more a candidate lets others go first; 0 or less: it stands for election."""
        resigned = self.resigned_at >= no_leader_since - self.options.candidacy_delay_s
        cut_off = cut.inbound or cut.outbound
        if not resigned and not (cut_off and self.better_peer(own, cut, now) is not None):
            return 0.0
        return no_leader_since + self.options.candidacy_delay_s - now


def _recent(peers: Mapping[str, PeerReach], now: float, for_s: float) -> dict[str, PeerReach]:
    return {member: peer_reach for member, peer_reach in peers.items() if now - peer_reach.at <= for_s}
