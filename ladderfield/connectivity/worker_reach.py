"""Which workers a controller reaches, by zone and in each direction. No clock and no I/O.

Judged are shares of zones, never single machines: a few bad machines, a lost zone, or a fleet that is empty or still
booting don't look like a controller that is cut off.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

LEAST = 3  # machines, or exchanges, below which nothing is judged
FEW_SHARE = 0.1  # of a zone's machines or exchanges: no more than this is a cut
MANY_SHARE = 0.5  # of those of any zone: with more than this a cut is over
SAMPLES = 8  # exchanges with workers of a zone that are remembered


class ZoneReach(NamedTuple):
    """Machines of a zone of which we know; those that report to us; exchanges that we began, and those answered.

    To a controller that is not leader report only those that could not reach the leader, to which they were sent.
    """

    known: int = 0
    heard: int = 0
    asked: int = 0
    answered: int = 0


class Directions(NamedTuple):
    """Whether workers are cut off from us (their reports don't come in), and we from them (orders don't go out)."""

    inward: bool = False
    outward: bool = False


def total(zones: Mapping[str, ZoneReach]) -> ZoneReach:
    """All zones together."""
    return ZoneReach(*(sum(column) for column in zip(*zones.values(), strict=True))) if zones else ZoneReach()


def is_cut(pairs: list[tuple[int, int]], was_cut: bool) -> bool:
    """Whether nearly none got through in any zone; pairs of those that should have, and those that did.

    What is little enough for a cut and what ends one lie far apart, so that a share in between changes nothing.
    """
    if sum(expected for expected, _ in pairs) < LEAST:
        return False
    if was_cut:
        return not any(expected and through > MANY_SHARE * expected for expected, through in pairs)
    return all(through <= FEW_SHARE * expected for expected, through in pairs)


def judge(zones: Mapping[str, ZoneReach], before: Directions, came_back: int = 0) -> Directions:
    """In which directions a leader, to which all workers should report, is cut off from them.

    That reports come by way of others is no proof by itself: after a change of leader workers stay for a while where
    they were. Either our orders don't go out as well, or most workers came back to others after they were sent to us:
    ``came_back`` is how many of these other controllers tell of.
    """
    outward = _outward(zones, before)
    roundabout = is_cut([(zone.known, zone.heard) for zone in zones.values()], before.inward)
    known = sum(zone.known for zone in zones.values())
    return Directions(roundabout and (outward or 2 * came_back >= known), outward)


def judge_follower(zones: Mapping[str, ZoneReach], before: Directions) -> Directions:
    """The same of any other controller, to which workers come only if they can't reach the leader."""
    outward = _outward(zones, before)
    return Directions(outward and not any(zone.heard for zone in zones.values()), outward)


def _outward(zones: Mapping[str, ZoneReach], before: Directions) -> bool:
    return is_cut([(zone.asked, zone.answered) for zone in zones.values()], before.outward)


class RecentHosts:
    """How many different hosts were seen within the last one to two windows; bounded."""

    def __init__(self, window_s: float, most: int) -> None:
        self.window_s, self.most = window_s, most
        self._present: set[str] = set()
        self._before: set[str] = set()
        self._from = 0.0

    def add(self, host: str, now: float) -> None:
        """A host was seen."""
        self._turn(now)
        if len(self._present) < self.most:
            self._present.add(host)

    def count(self, now: float) -> int:
        """The number of them."""
        self._turn(now)
        return len(self._present | self._before)

    def _turn(self, now: float) -> None:
        if now - self._from < self.window_s:
            return
        self._before = self._present if now - self._from < 2 * self.window_s else set()
        self._present, self._from = set(), now


@dataclass(slots=True)
class ZoneTraffic:
    """What went to and came from the workers of one zone."""

    reporters: RecentHosts
    on_record: int = 0  # machines that hold claims on record
    outcomes: deque[tuple[float, bool]] = field(default_factory=lambda: deque(maxlen=SAMPLES))


class WorkerTraffic:
    """What went to and came from workers, kept for as long as it says something about now."""

    def __init__(self, window_s: float, most_hosts: int) -> None:
        self.window_s, self.most_hosts = window_s, most_hosts
        self._zones: dict[str, ZoneTraffic] = {}
        self._counts: dict[str, tuple[int, int]] | None = None  # a leader's: known and heard, by zone

    def _zone(self, zone: str) -> ZoneTraffic:
        if zone not in self._zones:
            self._zones[zone] = ZoneTraffic(RecentHosts(self.window_s, self.most_hosts))
        return self._zones[zone]

    def counted(self, counts: Mapping[str, tuple[int, int]] | None) -> None:
        """A leader knows its machines one by one; None: it is no longer leader."""
        self._counts = None if counts is None else dict(counts)

    @property
    def leads(self) -> bool:
        """Whether the machines are counted one by one."""
        return self._counts is not None

    @property
    def on_record(self) -> int:
        """Machines that hold claims on record, which every controller can count."""
        return sum(traffic.on_record for traffic in self._zones.values())

    def recorded(self, machines: Mapping[str, int]) -> None:
        """How many machines with claims are on record in each zone; zones that have none any more are forgotten."""
        for zone in [zone for zone in self._zones if zone not in machines]:
            del self._zones[zone]
        for zone, number in machines.items():
            self._zone(zone).on_record = number

    def reported(self, zone: str, host: str, now: float) -> None:
        """A worker that can't reach the leader reported here. Zones that are not on record are not counted."""
        if zone in self._zones:
            self._zones[zone].reporters.add(host, now)

    def asked(self, zone: str, answered: bool, now: float) -> None:
        """A worker was asked or sent orders, and answered or did not."""
        self._zone(zone).outcomes.append((now, answered))

    def idle(self, zone: str, now: float, for_s: float) -> bool:
        """Whether no worker of the zone has answered us lately."""
        traffic = self._zones.get(zone)
        return traffic is None or all(now - at > for_s or not answered for at, answered in traffic.outcomes)

    def forget(self) -> None:
        """What was measured says nothing: the process stood still."""
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
                known, heard = counts.get(name, (0, 0))
            else:
                heard = 0 if traffic is None else traffic.reporters.count(now)
                known = 0 if traffic is None else max(traffic.on_record, heard)
            reach[name] = ZoneReach(known, min(heard, known), len(recent), sum(recent))
        return reach
