"""Which workers a controller reaches, by zone and in each direction. No clock and no I/O.

Judged are shares of zones, never single machines: a few faulty machines, a lost zone, or a fleet that is empty or still
booting don't look like a controller that is cut off.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MIN_SAMPLES = 3  # machines or exchanges, below which nothing is judged
CUT_SHARE = 0.1  # of a zone's machines or exchanges: no more than this in every zone is a cut
RESTORED_SHARE = 0.5  # of those of any zone: more than this ends a cut
EXCHANGES_PER_ZONE = 8  # the most recent ones, which are kept


class ZoneReach(NamedTuple):
    """The machines known in a zone, those that report here, the exchanges begun from here, and those answered.

    To a controller that is not leader only workers report that could not reach the leader to which they were sent.
    """

    known: int = 0
    reporting: int = 0
    requests: int = 0
    answered: int = 0


class CutDirections(NamedTuple):
    """Whether workers are cut off from us (reports don't arrive here), and we from them (orders don't arrive there)."""

    inbound: bool = False
    outbound: bool = False


def total(zones: Mapping[str, ZoneReach]) -> ZoneReach:
    """All zones together."""
    return ZoneReach(*(sum(column) for column in zip(*zones.values(), strict=True))) if zones else ZoneReach()


def is_cut(pairs: list[tuple[int, int]], was_cut: bool) -> bool:
    """Whether nearly nothing gets through in any zone; ``pairs`` holds what is expected and what is received.

    The shares that begin and end a cut lie far apart, so that a share in between changes nothing.
    """
    if sum(expected for expected, _ in pairs) < MIN_SAMPLES:
        return False
    if was_cut:
        return not any(expected and received > RESTORED_SHARE * expected for expected, received in pairs)
    return all(received <= CUT_SHARE * expected for expected, received in pairs)


def judge(zones: Mapping[str, ZoneReach], before: CutDirections, reporting_elsewhere: int = 0) -> CutDirections:
    """In which directions a leader, to which all workers should report, is cut off from them.

    That reports arrive through other controllers proves nothing by itself: after a change of leader workers stay with
    their old controller for a while. Either our orders must fail to arrive too, or at least half of the workers must
    have returned to other controllers after they were sent here: ``reporting_elsewhere``, as those controllers report.
    """
    outbound = _outbound(zones, before)
    reports_bypass_us = is_cut([(zone.known, zone.reporting) for zone in zones.values()], before.inbound)
    known = sum(zone.known for zone in zones.values())
    return CutDirections(reports_bypass_us and (outbound or 2 * reporting_elsewhere >= known), outbound)


def judge_follower(zones: Mapping[str, ZoneReach], before: CutDirections) -> CutDirections:
    """The same for a controller that is not leader, to which workers report only if they can't reach the leader."""
    outbound = _outbound(zones, before)
    return CutDirections(outbound and not any(zone.reporting for zone in zones.values()), outbound)


def _outbound(zones: Mapping[str, ZoneReach], before: CutDirections) -> bool:
    return is_cut([(zone.requests, zone.answered) for zone in zones.values()], before.outbound)


class RecentHosts:
    """How many different hosts were seen within the last one to two windows; bounded."""

    def __init__(self, window_s: float, max_hosts: int) -> None:
        self.window_s, self.max_hosts = window_s, max_hosts
        self._current: set[str] = set()
        self._previous: set[str] = set()
        self._window_start = 0.0

    def add(self, host: str, now: float) -> None:
        """Record that a host was seen."""
        self._rotate(now)
        if len(self._current) < self.max_hosts:
            self._current.add(host)

    def count(self, now: float) -> int:
        """How many were seen."""
        self._rotate(now)
        return len(self._current | self._previous)

    def _rotate(self, now: float) -> None:
        if now - self._window_start < self.window_s:
            return
        self._previous = self._current if now - self._window_start < 2 * self.window_s else set()
        self._current, self._window_start = set(), now


@dataclass(slots=True)
class ZoneTraffic:
    """Traffic with the workers of one zone."""

    reporters: RecentHosts
    on_record: int = 0  # machines with recorded claims
    outcomes: deque[tuple[float, bool]] = field(default_factory=lambda: deque(maxlen=EXCHANGES_PER_ZONE))


class WorkerTraffic:
    """Traffic with workers, kept for as long as it describes the current reach."""

    def __init__(self, window_s: float, max_hosts: int) -> None:
        self.window_s, self.max_hosts = window_s, max_hosts
        self._zones: dict[str, ZoneTraffic] = {}
        self._counts: dict[str, tuple[int, int]] | None = None  # a leader's machines: known and reporting, by zone

    def _zone(self, zone: str) -> ZoneTraffic:
        if zone not in self._zones:
            self._zones[zone] = ZoneTraffic(RecentHosts(self.window_s, self.max_hosts))
        return self._zones[zone]

    def set_leader_counts(self, counts: Mapping[str, tuple[int, int]] | None) -> None:
        """Set a leader's counts of its machines, by zone; None: it is no longer leader."""
        self._counts = None if counts is None else dict(counts)

    @property
    def is_leader(self) -> bool:
        """Whether a leader's counts are set."""
        return self._counts is not None

    @property
    def on_record(self) -> int:
        """Machines with recorded claims, which every controller can count."""
        return sum(traffic.on_record for traffic in self._zones.values())

    def set_machines_on_record(self, machines: Mapping[str, int]) -> None:
        """Set how many machines have recorded claims in each zone; zones without any are dropped."""
        for zone in [zone for zone in self._zones if zone not in machines]:
            del self._zones[zone]
        for zone, number in machines.items():
            self._zone(zone).on_record = number

    def note_report(self, zone: str, host: str, now: float) -> None:
        """Record the report of a worker that can't reach the leader. Zones without recorded claims don't count."""
        if zone in self._zones:
            self._zones[zone].reporters.add(host, now)

    def note_exchange(self, zone: str, answered: bool, now: float) -> None:
        """Record whether a worker answered a request or orders."""
        self._zone(zone).outcomes.append((now, answered))

    def is_idle(self, zone: str, now: float, for_s: float) -> bool:
        """Whether no worker of the zone has answered within ``for_s`` seconds."""
        traffic = self._zones.get(zone)
        return traffic is None or all(now - at > for_s or not answered for at, answered in traffic.outcomes)

    def clear(self) -> None:
        """Drop all measurements, which say nothing after a standstill of the process."""
        self._zones.clear()
        self._counts = None

    def zones(self, now: float) -> dict[str, ZoneReach]:
        """The reach in each zone, as of now."""
        counts = self._counts
        reach = {}
        for name in self._zones.keys() | (counts or {}).keys():
            traffic = self._zones.get(name)
            recent = [] if traffic is None else [ok for at, ok in traffic.outcomes if now - at <= self.window_s]
            if counts is not None:
                known, reporting = counts.get(name, (0, 0))
            else:
                reporting = 0 if traffic is None else traffic.reporters.count(now)
                known = 0 if traffic is None else max(traffic.on_record, reporting)
            reach[name] = ZoneReach(known, min(reporting, known), len(recent), sum(recent))
        return reach
