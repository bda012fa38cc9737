"""The cloud client."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.testing import settings


async def test_permission_to_rent_and_delete_is_checked_after_the_rate_limit_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader suspended while it waits for the rate limit must not delete machines that its successor uses."""
    cloud, calls = Cloud(settings()), list[str]()

    async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        calls.append(target)
        return 200, b'{"hosts": ["i-1"]}'

    monkeypatch.setattr(cloud._client, "call", call)
    allowed_until = trio.current_time() + 1.0

    def may_call() -> bool:
        return trio.current_time() < allowed_until

    assert await cloud.rent("h-1", "m4", "za", False, 1, may_call) == ["i-1"]
    await cloud.budget.take(100, urgent=True)
    for act in (cloud.rent("h-2", "m4", "za", False, 1, may_call), cloud.delete(["i-1"], may_call)):
        with pytest.raises(CloudError):
            await act
    assert calls == ["/machines"]
