"""Which links of this controller work, from the traffic that goes over them anyway. No clock and no I/O."""

from __future__ import annotations

import enum
import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from ladderfield.connectivity.authority import Condition
from ladderfield.connectivity.links import Exchange, LinkHistory, LinkState
from ladderfield.connectivity.worker_reach import Directions, WorkerTraffic, ZoneReach, judge, judge_follower, total

log = logging.getLogger(__name__)

WINDOW = 1.0  # of report_s: how long traffic with workers says something about now. Reports come every 0.75 to 1.25
# report_s, so that at any time 94% of the machines have reported within this.
STANDSTILL = 3.0  # of the time between two looks, after which what was measured before says nothing


class Side(enum.Enum):
    """What is at the other end of a link, and in which direction it is used."""

    STATE_READ = "state service, reads"
    STATE_WRITE = "state service, writes and leases"
    STATE_WATCH = "state service, watch"
    CLOUD = "cloud"
    PEER_OUT = "questions to"
    PEER_IN = "questions from"


class ReachStatus(NamedTuple):
    """What authority needs to know of reach."""

    condition: Condition = Condition.FULL
    silence_counts_from: float = -math.inf


class PeerStatus(NamedTuple):
    """How another controller is, as of the last question to it."""

    reachable: bool
    state_ok: bool


class Reachability:
    """Links to the state service, the cloud and other controllers one by one, and workers by zone and share."""

    def __init__(self, report_s: float, lease_s: float, most_hosts: int) -> None:
        self.report_s, self.lease_s = report_s, lease_s
        self.state_ok = True  # whether the last read proved the view to be fresh
        self.links: dict[tuple[Side, str], LinkHistory] = {}
        self.workers = WorkerTraffic(WINDOW * report_s, most_hosts)
        self.cut = Directions()
        self.cut_since = -math.inf  # when reports or orders were last found to stop
        self._looked_at: float | None = None
        self._judged_from = -math.inf
        self._status = ReachStatus()

    def note(self, side: Side, exchange: Exchange, now: float, name: str = "") -> None:
        """An exchange over one link ended."""
        link = self.links.get((side, name))
        if link is None:
            link = self.links[side, name] = LinkHistory(self.report_s / 2)
        if link.note(exchange, now):
            self._update_status()
            log.info("link %s: %s", f"{side.value} {name}".rstrip(), link.state.value)

    def usable(self, side: Side, name: str = "") -> bool:
        """Whether a link is open, as far as is known."""
        link = self.links.get((side, name))
        return link is None or link.state is LinkState.OPEN

    def look(self, now: float, every_s: float, came_back: int = 0) -> None:
        """Judge the workers' links anew; to be called every ``every_s`` seconds.

        ``came_back``: workers that other controllers say can't reach us.
        """
        stood_still = self._looked_at is not None and now - self._looked_at > STANDSTILL * every_s
        self._looked_at = now
        if stood_still:
            # Guards against calling ourselves cut off for what we were too slow to take in.
            self.workers.forget()
            self.cut, self._judged_from = Directions(), now + self.workers.window_s
            self._update_status()
        if now < self._judged_from:
            return
        before, zones = self.cut, self.zones(now)
        self.cut = judge(zones, before, came_back) if self.workers.leads else judge_follower(zones, before)
        if self.cut != before:
            self.cut_since = now
            self._update_status()
            reach = total(zones)
            log.info(
                "workers: reports %s, orders %s: %d of %d machines report here, %d of %d exchanges with them answered",
                "don't come in" if self.cut.inward else "come in", "don't go out" if self.cut.outward else "go out",
                reach.heard, reach.known, reach.answered, reach.asked,
            )  # fmt: skip

    def zones(self, now: float) -> dict[str, ZoneReach]:
        """The reach of workers in each zone."""
        return self.workers.zones(now)

    def total(self, now: float) -> ZoneReach:
        """The reach of workers in all zones together."""
        return total(self.zones(now))

    def condition(self) -> Condition:
        """Which sides are reached. Orders that don't go out are no lack: they go with the answers to reports."""
        state = self.usable(Side.STATE_READ) and self.usable(Side.STATE_WRITE)
        if self.cut.inward:
            return Condition.WITHOUT_WORKERS if state else Condition.ISOLATED
        return Condition.FULL if state else Condition.WITHOUT_STATE

    def status(self) -> ReachStatus:
        """What a leader's authority needs to know; asked for with every report, so it is kept ready."""
        return self._status

    def _update_status(self) -> None:
        counts_from = self.cut_since + self.lease_s if self.cut.inward else -math.inf
        self._status = ReachStatus(self.condition(), counts_from)


def takes_users(state_ok: bool, peers: Iterable[PeerStatus]) -> bool:
    """Whether users should come here.

    They should go elsewhere if the state service turns us away while it serves another controller, or if we reach
    neither it nor any other. In an outage for all, staying ready costs nothing, whereas each removal makes the load
    balancer pause longer before it comes back. A controller that has just started and has no view yet is in the same
    place.
    """
    peers = list(peers)
    cut_off = bool(peers) and not any(peer.reachable for peer in peers)
    return state_ok or not (cut_off or any(peer.state_ok for peer in peers))
