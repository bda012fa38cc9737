"""Measures order and timing when a zone returns many times, with three controllers over real sockets.

    python -m benchmarks.zone_flaps --flaps 20

A longer form of ``ladderfield/zones/test_loopback.py``, with the zone order and without it.
"""

from __future__ import annotations

import click
import trio
from ddsketch import DDSketch

from ladderfield.testing.loopback import ZONES
from ladderfield.testing.loopback_zones import batch_before_service, flap
from ladderfield.zones.options import ZoneFlags, check


@click.command()
@click.option("--flaps", default=20, show_default=True)
@click.option("--order", default="production,standard,best_effort", show_default=True)
def main(flaps: int, order: str) -> None:
    """Cut the zone off repeatedly, with the zone order and without it; print one line for each."""
    for zone_order in (order, None):
        outages, starts = trio.run(flap, check(ZoneFlags(zone_order), ZONES, 0.0), flaps)
        early = batch_before_service(outages, starts)
        waits = DDSketch(0.02)
        for outage in outages:
            if outage.restored_at is not None:
                waits.add(outage.restored_at - outage.back_at)
        median_s, max_s = waits.get_quantile_value(0.5) or 0.0, waits.get_quantile_value(1.0) or 0.0
        click.echo(
            f"order {zone_order or 'off'}: {len(outages)} returns, in {sum(map(bool, early))} of them batch before "
            f"the service ({sum(map(len, early))} tasks); service up after {median_s:.1f} s (median), "
            f"{max_s:.1f} s (longest)"
        )


if __name__ == "__main__":
    main()
