"""Entry point of ``python3 -m ladderfield``."""

from ladderfield.cli import main

main(prog_name="ladderfield")
