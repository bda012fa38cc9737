"""Start ladderfield from a checkout that was built as ``deploy/service.toml`` says.

The platform calls this file with ``--config FILE``; it stands for ``ladderfield serve --config FILE``.

A controller has a fraction of a processor core, so nothing may be compiled while it starts. Python looks for compiled
files beside their sources, and the build may only write below ``target``: it puts a copy of the package there and
compiles it, as installing it would. ``sys.pycache_prefix`` is no way to do this: it hides the compiled files of the
standard library too, which then is compiled at each start.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_TARGET = _ROOT / "target"
sys.dont_write_bytecode = True
sys.path[:0] = [str(_TARGET / "app"), str(_TARGET / "deps")]

from ladderfield.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    main(["serve", *sys.argv[1:]], prog_name="ladderfield")
