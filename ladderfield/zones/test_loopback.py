"""A flapping zone over real sockets.

The test asserts only the order of events, because the clock is real and the test machine may be slow.
"""

from __future__ import annotations

import trio

from ladderfield.testing.loopback import ZONES
from ladderfield.testing.loopback_zones import REPLICAS, batch_before_service, flap
from ladderfield.zones.options import ZoneFlags, check

FLAPS = 3


def test_no_batch_task_starts_in_a_returning_zone_before_the_service_runs_there() -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ZONES, 0.0)
    outages, starts = trio.run(flap, options, FLAPS)
    assert [outage.missing for outage in outages] == [REPLICAS] * FLAPS
    assert batch_before_service(outages, starts) == [[]] * FLAPS
    assert max(starts) > outages[-1].back_at, "batch returns after the last outage"
