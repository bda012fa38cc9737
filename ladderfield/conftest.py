"""Runs async tests under trio, on a clock that jumps ahead whenever all tasks are blocked."""

from __future__ import annotations

import inspect
from typing import Any

import pytest
import trio
import trio.testing

MAX_TEST_S = 3600  # on the mock clock


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: Any) -> bool | None:
    """Run an async test under trio with a mock clock, for at most an hour of its time."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    argument_names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in argument_names}

    async def run() -> None:
        with trio.fail_after(MAX_TEST_S):
            await pyfuncitem.obj(**arguments)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return True
