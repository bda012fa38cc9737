"""How many entries a table may keep: a share of the memory that the process may use, never a fixed number.

Tables of what is over (deleted machines, redirected workers, confirmed cancellations) need a bound, since nothing else
ends their growth. As the bound follows the quota, a deployment that is given the memory for more machines may have
them.
"""

from __future__ import annotations

from ladderfield.settings import Settings

ENTRY_BYTES = 256  # a short name, a small value and their places in a dictionary
SHARE = 1 / 64  # of the memory, for each such table
LEAST = 8192  # entries


def most_entries(settings: Settings) -> int:
    """The bound of one table."""
    share_bytes = settings.cluster.quota.ram_mb * 2**20 * SHARE
    return max(LEAST, int(share_bytes / ENTRY_BYTES))
