"""Probes some workers in each zone where no other traffic shows whether they can be reached."""

from __future__ import annotations

import logging
import random
from typing import NamedTuple

import trio

from ladderfield.connectivity.reachability import Reachability
from ladderfield.http import Client, NoAnswerError
from ladderfield.jobs.model import page_key
from ladderfield.leader.pages import HOSTS
from ladderfield.settings import Settings, address
from ladderfield.view import View

log = logging.getLogger(__name__)

PROBE_REPORT_INTERVALS = 0.5  # between two rounds, and the timeout of a probe: workers answer within milliseconds
LEADER_PROBE_REPORT_INTERVALS = 0.25  # for a leader, which needs few probes, as its pushes are answered all the time
PROBES_PER_ZONE = 3  # in one round
PROBE_SOCKETS_SHARE = 1 / 200  # of the sockets, for probes in flight


class WorkerAddress(NamedTuple):
    """A machine with recorded claims."""

    zone: str
    endpoint: str


def machines_on_record(view: View) -> dict[str, WorkerAddress]:
    """The machines that recorded claims name, which any controller can contact."""
    machines: dict[str, WorkerAddress] = {}
    number = 0
    while (page := view.get(page_key(number))) is not None:
        number += 1
        for host, entry in page.get(HOSTS, {}).items():
            machines[host] = WorkerAddress(entry[0], entry[1])
    return machines


class WorkerProber:
    """Probes workers until cancelled, within a share of the sockets."""

    def __init__(self, settings: Settings, view: View, reachability: Reachability, enabled: bool) -> None:
        self.enabled = enabled
        self.view, self.workers = view, reachability.workers
        self.report_s = settings.cluster.workers.report_s
        self.max_probes = max(PROBES_PER_ZONE, int(settings.cluster.quota.max_connections * PROBE_SOCKETS_SHARE))
        self._in_flight = 0
        self._random = random.Random(settings.member)

    async def run(self) -> None:
        """Start a round of probes at each interval."""
        if not self.enabled:
            await trio.sleep_forever()
        async with trio.open_nursery() as nursery:
            while True:
                for zone, endpoint in self._due(trio.current_time()):
                    self._in_flight += 1
                    nursery.start_soon(self._probe, zone, endpoint)
                await trio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        """Seconds between two rounds."""
        return (LEADER_PROBE_REPORT_INTERVALS if self.workers.is_leader else PROBE_REPORT_INTERVALS) * self.report_s

    def _due(self, now: float) -> list[WorkerAddress]:
        """The machines to probe now: some of each zone from which no worker has answered recently."""
        by_zone: dict[str, list[WorkerAddress]] = {}
        for machine in machines_on_record(self.view).values():
            by_zone.setdefault(machine.zone, []).append(machine)
        self.workers.set_machines_on_record({zone: len(machines) for zone, machines in by_zone.items()})
        due: list[WorkerAddress] = []
        for zone, machines in by_zone.items():
            if self.workers.is_idle(zone, now, self._interval_s()):
                due += self._random.sample(machines, min(PROBES_PER_ZONE, len(machines)))
        self._random.shuffle(due)  # if the limit cuts the list short, it is not always the same zone
        return due[: max(0, self.max_probes - self._in_flight)]

    async def _probe(self, zone: str, endpoint: str) -> None:
        """Probe one worker. Any answer counts."""
        answered = False
        try:
            await Client(*address(endpoint), max_idle=0).call("GET", "/show", None, self._interval_s())
            answered = True
        except (NoAnswerError, ValueError) as error:
            log.debug("no answer from %s in %s: %s", endpoint, zone, error)
        finally:
            self._in_flight -= 1
        self.workers.note_exchange(zone, answered, trio.current_time())
