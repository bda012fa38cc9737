"""Order and timings of many returns of a zone, with three controllers over real sockets.

    python -m benchmarks.zone_flaps --flaps 20

The longer form of ``ladderfield/zones/test_loopback.py``: with the order of returns and without it.
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
    """Flap with the order and without it; a line for each."""
    for text in (order, None):
        outages, starts = trio.run(flap, check(ZoneFlags(text), ZONES, 0.0), flaps)
        early = batch_before_service(outages, starts)
        waits = DDSketch(0.02)
        for outage in outages:
            if outage.restored_at is not None:
                waits.add(outage.restored_at - outage.back_at)
        half, worst = waits.get_quantile_value(0.5) or 0.0, waits.get_quantile_value(1.0) or 0.0
        click.echo(
            f"order {text or 'off'}: {len(outages)} returns, in {sum(map(bool, early))} of them batch before the "
            f"service ({sum(map(len, early))} tasks); service up after {half:.1f} s (half), {worst:.1f} s (longest)"
        )


if __name__ == "__main__":
    main()
