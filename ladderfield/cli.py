"""The ``ladderfield`` command; ``serve`` is the daemon, and a client's verbs would stand beside it."""

from __future__ import annotations

import gc
import logging
import sys
from pathlib import Path

import click
import trio

from ladderfield import __version__
from ladderfield.settings import SettingsError, load


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
def serve(config: Path, log_level: str) -> None:
    """Run one controller until it is killed."""
    logging.basicConfig(
        stream=sys.stderr,
        level=log_level.upper(),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        settings = load(config)
    except SettingsError as error:
        click.echo(f"ladderfield: {error}", err=True)
        raise SystemExit(2) from None
    from ladderfield.server import serve as run  # the settings are checked before the slow imports

    # What exists now lives as long as the process: no later collection should walk it again.
    gc.collect()
    gc.freeze()
    trio.run(run, settings)
