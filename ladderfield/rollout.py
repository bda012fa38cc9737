"""What a new version may ask of the others: nothing that one of them doesn't understand yet.

A version of this program says on record, once and for good, what it understands. Only when every controller in the
settings has said so may anything be put on record that an older version would take wrongly: jobs that wait for others,
whose tasks it would start too early. Once known it stays known, as the records stay. What every version understands is
in docs/design.md, "Versions side by side".
"""

from __future__ import annotations

import logging

import trio

from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.view import View

log = logging.getLogger(__name__)

VERSION = "lf/v/"  # a controller, and what its program understands
WAITING = 1  # jobs that wait for others
CANCELLATION_SYNC = 2  # questions about cancellations over ``back``, and the grace period that they allow
REACH_EXCHANGE = 3  # messages about reach over ``back``, and the record of resignations
LEVEL = REACH_EXCHANGE


def level_of(view: View, member: str) -> int:
    """What a controller's program understands, as far as is on record here."""
    value = view.get(VERSION + member)
    level = value.get("level") if isinstance(value, dict) else None
    return level if isinstance(level, int) else 0


class Rollout:
    """Says that this version is here, and knows whether it is everywhere."""

    def __init__(self, settings: Settings, client: StateClient, view: View) -> None:
        self.client, self.view = client, view
        self.member = settings.member
        self.key = VERSION + self.member
        self.members = [self.member, *(peer.member for peer in settings.peers)]
        self.pause = settings.cluster.workers.report_s / 4
        self._everywhere = 0  # the level that every controller is known to have

    @property
    def complete(self) -> bool:
        """Whether every controller understands jobs that wait for others."""
        return self._has_everywhere(WAITING)

    @property
    def reach_everywhere(self) -> bool:
        """Whether every controller understands messages about reach and the record of resignations."""
        return self._has_everywhere(REACH_EXCHANGE)

    def _has_everywhere(self, level: int) -> bool:
        if self._everywhere < level:
            self._everywhere = min(level_of(self.view, member) for member in self.members)
        return self._everywhere >= level

    async def run(self) -> None:
        """Put it on record as soon as there is a view, and look after it."""
        while True:
            if self.view.synced and level_of(self.view, self.member) < LEVEL:
                try:
                    await self.client.writes.take(urgent=True)
                    guards = {self.key: self.view.stamp(self.key)}
                    outcome = await self.client.commit(guards, {self.key: {"level": LEVEL}}, [], self.pause * 4)
                    with trio.move_on_after(self.pause * 4):
                        await self.view.reach(outcome.ledger)
                except StateServiceError as error:
                    log.debug("version not told yet: %s", error)
            await trio.sleep(self.pause / 4 if not self.view.synced else self.pause)
