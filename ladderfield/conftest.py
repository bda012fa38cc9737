"""Fixtures: tests are async functions on a clock that jumps ahead whenever everybody waits."""

from __future__ import annotations

import inspect
from typing import Any

import pytest
import trio
import trio.testing


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: Any) -> bool | None:
    """Run async tests under trio with a mock clock."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run() -> None:
        with trio.fail_after(3600):
            await pyfuncitem.obj(**arguments)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return True
