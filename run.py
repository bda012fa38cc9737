"""Start ladderfield from a checkout, with the libraries that the build put under target/.

The platform calls this file with ``--config FILE``; it stands for ``ladderfield serve --config FILE``.
Compiled files come from target/pycache, because starting has to fit into half a core.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.pycache_prefix = str(_ROOT / "target" / "pycache")
sys.dont_write_bytecode = True
sys.path[:0] = [str(_ROOT), str(_ROOT / "target" / "deps")]

from ladderfield.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    main(["serve", *sys.argv[1:]], prog_name="ladderfield")
