"""Start ladderfield from a checkout that was built by the command in ``deploy/service.toml``.

The platform calls this file with ``--config FILE``, which is the same as ``ladderfield serve --config FILE``.

A controller has a fraction of a processor core, so no module should be compiled while it starts. Python looks for
compiled files next to their sources, and the build may write only below ``target``, so the build copies the package
there and compiles it, as an installation would. ``sys.pycache_prefix`` is no alternative: it also hides the compiled
files of the standard library, which would then be compiled at each start.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_TARGET = _ROOT / "target"
sys.dont_write_bytecode = True
sys.path[:0] = [str(_TARGET / "app"), str(_TARGET / "deps")]

from ladderfield.cli import main  # noqa: E402  (needs the path set above)

if __name__ == "__main__":
    main(["serve", *sys.argv[1:]], prog_name="ladderfield")
