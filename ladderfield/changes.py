"""Changes of keys in the state service, and subscriptions to them that never hold up the view."""

from __future__ import annotations

from typing import Any

import trio


class Change:
    """A change of one key as the view received it; ``value`` is None for a deletion."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: Any, revision: int) -> None:
        self.key, self.value, self.revision = key, value, revision


class Subscription:
    """The changes that one subscriber has not received yet.

    Adding changes never waits, so that a subscriber that is busy, or waits for something itself, stops nobody else. Of
    each key only the latest change is kept, as after a full read of the keys: what is pending is bounded by the keys.
    """

    def __init__(self) -> None:
        self._pending: dict[str, Change] = {}  # by key, the latest change last
        self._arrived = trio.Event()

    def add(self, change: Change) -> None:
        """Add a change that is newer than those before."""
        self._pending.pop(change.key, None)
        self._pending[change.key] = change
        self._arrived.set()

    async def receive(self) -> list[Change]:
        """Wait for changes; all that are pending, oldest first."""
        await self._arrived.wait()
        self._arrived = trio.Event()
        pending, self._pending = self._pending, {}
        return list(pending.values())
