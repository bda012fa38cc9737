"""The feature levels of all controllers: a feature is used only once every controller understands it.

Each controller records the level of its version, once and for good. Only when every controller in the settings has
recorded a level may anything be written that an older version would misread, such as jobs with dependencies, whose
tasks it would start too early. A level that was reached stays reached, as the records stay. What every version
understands is in docs/design.md, "Versions side by side".
"""

from __future__ import annotations

import logging

import trio

from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.view import View

log = logging.getLogger(__name__)

VERSION_PREFIX = "lf/v/"  # followed by the controller's name
JOB_DEPENDENCIES = 1  # jobs that wait for others
CANCELLATION_SYNC = 2  # queries for cancellations over ``back``, and the grace period that they allow
REACH_EXCHANGE = 3  # reach messages over ``back``, and the record of resignations
LARGE_DESCRIPTIONS = 4  # jobs whose description takes several records
OWN_LEVEL = LARGE_DESCRIPTIONS


def level_of(view: View, member: str) -> int:
    """The recorded level of a controller, as far as the view has it; 0 if there is none."""
    value = view.get(VERSION_PREFIX + member)
    level = value.get("level") if isinstance(value, dict) else None
    return level if isinstance(level, int) else 0


class Rollout:
    """Records the level of this controller, and tells which level all controllers have."""

    def __init__(self, settings: Settings, client: StateClient, view: View) -> None:
        self.client, self.view = client, view
        self.member = settings.member
        self.key = VERSION_PREFIX + self.member
        self.members = [self.member, *(peer.member for peer in settings.peers)]
        self.interval_s = settings.cluster.workers.report_s / 4
        self._common_level = 0  # the level that every controller is known to have

    @property
    def supports_dependencies(self) -> bool:
        """Whether every controller understands jobs that wait for others."""
        return self._all_support(JOB_DEPENDENCIES)

    @property
    def supports_reach_exchange(self) -> bool:
        """Whether every controller understands reach messages and the record of resignations."""
        return self._all_support(REACH_EXCHANGE)

    @property
    def supports_large_descriptions(self) -> bool:
        """Whether every controller reads descriptions of jobs that take several records."""
        return self._all_support(LARGE_DESCRIPTIONS)

    def _all_support(self, level: int) -> bool:
        if self._common_level < level:
            self._common_level = min(level_of(self.view, member) for member in self.members)
        return self._common_level >= level

    async def run(self) -> None:
        """Record the level once the view is loaded, and again should the record be missing."""
        while True:
            if self.view.synced and level_of(self.view, self.member) < OWN_LEVEL:
                try:
                    await self.client.writes.take(urgent=True)
                    guards = {self.key: self.view.revision_of(self.key)}
                    outcome = await self.client.commit(
                        guards, {self.key: {"level": OWN_LEVEL}}, [], self.interval_s * 4
                    )
                    with trio.move_on_after(self.interval_s * 4):
                        await self.view.wait_for_revision(outcome.revision)
                except StateServiceError as error:
                    log.debug("could not record the version yet: %s", error)
            await trio.sleep(self.interval_s / 4 if not self.view.synced else self.interval_s)
