"""Asks some workers in each zone how they are, where nothing else tells whether they can be reached."""

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

EVERY = 0.5  # of report_s: between two rounds of probes, and how long one waits: workers answer within milliseconds
LEADER_EVERY = 0.25  # the same of a leader, which needs few, as its pushes are answered all the time
PROBES_PER_ZONE = 3  # at a time
SOCKETS_SHARE = 1 / 200  # of the sockets: probes under way


class WorkerAddress(NamedTuple):
    """A machine with claims on record."""

    zone: str
    endpoint: str


def machines_on_record(view: View) -> dict[str, WorkerAddress]:
    """The machines that claims on record name, with which any controller can speak."""
    machines: dict[str, WorkerAddress] = {}
    number = 0
    while (page := view.get(page_key(number))) is not None:
        number += 1
        for host, about in page.get(HOSTS, {}).items():
            machines[host] = WorkerAddress(about[0], about[1])
    return machines


class WorkerProber:
    """Probes for ever, within a share of the sockets."""

    def __init__(self, settings: Settings, view: View, reachability: Reachability, enabled: bool) -> None:
        self.enabled = enabled
        self.view, self.workers = view, reachability.workers
        self.report_s = settings.cluster.workers.report_s
        self.most = max(PROBES_PER_ZONE, int(settings.cluster.quota.max_connections * SOCKETS_SHARE))
        self._under_way = 0
        self._random = random.Random(settings.member)

    async def run(self) -> None:
        """Begin a round of probes again and again."""
        if not self.enabled:
            await trio.sleep_forever()
        async with trio.open_nursery() as nursery:
            while True:
                for zone, endpoint in self._due(trio.current_time()):
                    self._under_way += 1
                    nursery.start_soon(self._probe, zone, endpoint)
                await trio.sleep(self._every_s())

    def _every_s(self) -> float:
        """Seconds between two rounds."""
        return (LEADER_EVERY if self.workers.leads else EVERY) * self.report_s

    def _due(self, now: float) -> list[WorkerAddress]:
        """Whom to ask now: some machines of each zone over whose links nothing has come lately."""
        by_zone: dict[str, list[WorkerAddress]] = {}
        for machine in machines_on_record(self.view).values():
            by_zone.setdefault(machine.zone, []).append(machine)
        self.workers.recorded({zone: len(machines) for zone, machines in by_zone.items()})
        due: list[WorkerAddress] = []
        for zone, machines in by_zone.items():
            if self.workers.idle(zone, now, self._every_s()):
                due += self._random.sample(machines, min(PROBES_PER_ZONE, len(machines)))
        self._random.shuffle(due)  # where not all can be asked, no zone is always left out
        return due[: max(0, self.most - self._under_way)]

    async def _probe(self, zone: str, endpoint: str) -> None:
        """Ask one worker. Any answer will do."""
        answered = False
        try:
            await Client(*address(endpoint), keep=0).call("GET", "/show", None, self._every_s())
            answered = True
        except (NoAnswerError, ValueError) as error:
            log.debug("no answer from %s in %s: %s", endpoint, zone, error)
        finally:
            self._under_way -= 1
        self.workers.asked(zone, answered, trio.current_time())
