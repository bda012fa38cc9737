"""The ``ladderfield`` command, with ``serve`` to run a controller."""

from __future__ import annotations

import gc
import logging
import sys
from pathlib import Path

import click
import trio

from ladderfield import __version__
from ladderfield.connectivity import options as reach_options
from ladderfield.flags import FlagError
from ladderfield.settings import SettingsError, load
from ladderfield.zones import options


@click.group(context_settings={"auto_envvar_prefix": "LADDERFIELD"})
@click.version_option(__version__, prog_name="ladderfield")
def main() -> None:
    """ladderfield, a cluster scheduler."""


@main.command()
@click.option(
    "--config",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file (JSON) from the platform.",
)
@click.option(
    "--log-level",
    envvar="LOG_LEVEL",
    default="info",
    show_default=True,
    type=click.Choice(["error", "warning", "info", "debug"], case_sensitive=False),
    help="How much to write to standard error.",
)
@click.option(
    options.ORDER,
    help="Order in which priorities return to a zone that was lost, for example "
    "production,urgent+standard,best_effort. Turns ordered returns on.",
)
@click.option(
    options.ZONE_ORDER,
    nargs=2,
    multiple=True,
    metavar="ZONE ORDER",
    help="Order for one zone, in place of the general one.",
)
@click.option(
    options.PROBATION,
    type=float,
    metavar="SECONDS",
    help="How long a recovered zone has to be stable before batch work returns to it.  [default: 4 report intervals]",
)
@click.option(
    options.WINDOW,
    nargs=4,
    multiple=True,
    metavar="NAME DAYS FROM TO",
    help="Window in which the probation is twice as long, for example billing mon,tue 06:00 09:00. "
    "Days: daily, mon to sun, dates, monday-after-holiday.",
)
@click.option(options.TIME_ZONE, metavar="NAME", help="Time zone of the windows, for example Asia/Kuala_Lumpur.")
@click.option(
    options.HOLIDAYS, metavar="COUNTRY", help="Country or region whose public holidays count, for example MY or MY-10."
)
@click.option(
    reach_options.BY_REACH_FLAG,
    is_flag=True,
    help="A leader that no worker can reach resigns in favour of a controller that workers can reach.",
)
@click.option(
    reach_options.MINIMUM_TERM_FLAG,
    type=float,
    metavar="SECONDS",
    help="Shortest time after its election at which a leader resigns.  [default: a worker's lease]",
)
@click.option(
    reach_options.CANDIDACY_DELAY_FLAG,
    type=float,
    metavar="SECONDS",
    help="How long a controller that can't reach workers waits for others to be elected first.  "
    "[default: 2 report intervals]",
)
def serve(
    config: Path,
    log_level: str,
    zone_order: str | None,
    zone_order_of: tuple[tuple[str, str], ...],
    zone_probation: float | None,
    zone_window: tuple[tuple[str, str, str, str], ...],
    zone_time_zone: str | None,
    zone_holidays: str | None,
    leadership_by_reach: bool,
    minimum_tenure: float | None,
    stand_back: float | None,
) -> None:
    """Run one controller until it is killed."""
    logging.basicConfig(
        stream=sys.stderr,
        level=log_level.upper(),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        settings = load(config)
        flags = options.ZoneFlags(zone_order, zone_order_of, zone_probation, zone_window, zone_time_zone, zone_holidays)
        zone_options = options.check(flags, settings.cluster.zones, settings.cluster.clock_off_ms / 1000)
        reach = reach_options.check(leadership_by_reach, minimum_tenure, stand_back, settings.cluster.workers)
    except (SettingsError, FlagError) as error:
        click.echo(f"ladderfield: {error}", err=True)
        raise SystemExit(2) from None
    # Imported here, so that wrong settings are reported before the slow imports.
    from ladderfield.server import serve as run

    # Objects that exist now live as long as the process; exclude them from later garbage collections.
    gc.collect()
    gc.freeze()
    trio.run(run, settings, zone_options, reach)
