"""Which links of this controller work, judged by its regular traffic. No clock and no I/O."""

from __future__ import annotations

import enum
import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from ladderfield.connectivity.authority import Condition
from ladderfield.connectivity.links import Exchange, LinkHistory, LinkState
from ladderfield.connectivity.worker_reach import CutDirections, WorkerTraffic, ZoneReach, judge, judge_follower, total

log = logging.getLogger(__name__)

# How long traffic with workers counts. Reports come every 0.75 to 1.25 report_s, so that at any time 94% of the
# machines have reported within this.
WINDOW_REPORT_INTERVALS = 1.0
STANDSTILL_FACTOR = 3.0  # a pause this many times the interval between judgements makes earlier measurements worthless


class LinkKind(enum.Enum):
    """What is at the other end of a link, and in which direction it is used."""

    STATE_READ = "state service, reads"
    STATE_WRITE = "state service, writes and leases"
    STATE_WATCH = "state service, watch"
    CLOUD = "cloud"
    PEER_OUT = "requests to"
    PEER_IN = "requests from"


class ReachStatus(NamedTuple):
    """What ``Authority`` needs to know of reach."""

    condition: Condition = Condition.FULL
    silence_counts_from: float = -math.inf


class PeerStatus(NamedTuple):
    """The state of another controller, as of the last request to it."""

    reachable: bool
    state_ok: bool


class Reachability:
    """Links to the state service, the cloud and each controller, and the reach of workers as shares of zones."""

    def __init__(self, report_s: float, lease_s: float, max_hosts: int) -> None:
        self.report_s, self.lease_s = report_s, lease_s
        self.state_ok = True  # whether the last read proved the view fresh
        self.links: dict[tuple[LinkKind, str], LinkHistory] = {}
        self.workers = WorkerTraffic(WINDOW_REPORT_INTERVALS * report_s, max_hosts)
        self.cut = CutDirections()
        self.cut_since = -math.inf  # when ``cut`` last changed
        self._judged_at: float | None = None
        self._valid_from = -math.inf
        self._status = ReachStatus()

    def note(self, link_kind: LinkKind, exchange: Exchange, now: float, name: str = "") -> None:
        """Record an exchange over one link."""
        link = self.links.get((link_kind, name))
        if link is None:
            link = self.links[link_kind, name] = LinkHistory(self.report_s / 2)
        if link.note(exchange, now):
            self._update_status()
            log.info("link %s: %s", f"{link_kind.value} {name}".rstrip(), link.state.value)

    def usable(self, link_kind: LinkKind, name: str = "") -> bool:
        """Whether a link is open, as far as is known."""
        link = self.links.get((link_kind, name))
        return link is None or link.state is LinkState.OPEN

    def judge_workers(self, now: float, interval_s: float, reporting_elsewhere: int = 0) -> None:
        """Judge again whether workers are cut off; to be called every ``interval_s`` seconds.

        ``reporting_elsewhere``: workers that can't reach this leader, as other controllers report.
        """
        was_suspended = self._judged_at is not None and now - self._judged_at > STANDSTILL_FACTOR * interval_s
        self._judged_at = now
        if was_suspended:
            # This process was too slow to read its traffic, so missing traffic must not count as a cut.
            self.workers.clear()
            self.cut, self._valid_from = CutDirections(), now + self.workers.window_s
            self._update_status()
        if now < self._valid_from:
            return
        before, zones = self.cut, self.zones(now)
        self.cut = (
            judge(zones, before, reporting_elsewhere) if self.workers.is_leader else judge_follower(zones, before)
        )
        if self.cut != before:
            self.cut_since = now
            self._update_status()
            reach = total(zones)
            log.info(
                "workers: reports %s, orders %s: %d of %d machines report here, %d of %d exchanges with them answered",
                "don't arrive" if self.cut.inbound else "arrive", "don't arrive" if self.cut.outbound else "arrive",
                reach.reporting, reach.known, reach.answered, reach.requests,
            )  # fmt: skip

    def zones(self, now: float) -> dict[str, ZoneReach]:
        """The reach of workers in each zone."""
        return self.workers.zones(now)

    def total(self, now: float) -> ZoneReach:
        """The reach of workers in all zones together."""
        return total(self.zones(now))

    def condition(self) -> Condition:
        """Which sides are reached. Undelivered orders alone don't count: answers to reports carry them too."""
        state = self.usable(LinkKind.STATE_READ) and self.usable(LinkKind.STATE_WRITE)
        if self.cut.inbound:
            return Condition.WITHOUT_WORKERS if state else Condition.ISOLATED
        return Condition.FULL if state else Condition.WITHOUT_STATE

    def status(self) -> ReachStatus:
        """What a leader's authority needs to know; kept ready, as it is asked for with every report."""
        return self._status

    def _update_status(self) -> None:
        counts_from = self.cut_since + self.lease_s if self.cut.inbound else -math.inf
        self._status = ReachStatus(self.condition(), counts_from)


def serves_users(state_ok: bool, peers: Iterable[PeerStatus]) -> bool:
    """Whether users should come to this controller.

    They should use another one if the state service refuses this controller while it serves another, or if this one
    reaches neither the state service nor any other controller. In an outage for all, staying ready costs nothing,
    whereas each removal makes the load balancer wait longer before it adds the controller back. The same goes for a
    controller that has just started and has no view yet.
    """
    peers = list(peers)
    cut_off = bool(peers) and not any(peer.reachable for peer in peers)
    return state_ok or not (cut_off or any(peer.state_ok for peer in peers))
