"""Calls to the cloud."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.testing import settings


async def test_the_right_to_hire_and_delete_is_asked_after_the_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that stood still while it waited for its turn must not delete what its successor has put to work."""
    cloud, calls = Cloud(settings()), list[str]()

    async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        calls.append(target)
        return 200, b'{"hosts": ["i-1"]}'

    monkeypatch.setattr(cloud._client, "call", call)
    ends = trio.current_time() + 1.0

    def may() -> bool:
        return trio.current_time() < ends

    assert await cloud.rent("h-1", "m4", "za", False, 1, may) == ["i-1"]
    await cloud.budget.take(100, urgent=True)
    for act in (cloud.rent("h-2", "m4", "za", False, 1, may), cloud.delete(["i-1"], may)):
        with pytest.raises(CloudError):
            await act
    assert calls == ["/machines"]
