"""The maximum number of entries in a table, as a share of the process's memory quota.

Tables about the past (deleted machines, redirected workers, confirmed cancellations) would otherwise grow without end.
As the maximum follows the quota, a deployment with the memory for more machines may have them.
"""

from __future__ import annotations

from ladderfield.settings import Settings

ENTRY_BYTES = 256  # a short name, a small value and their slots in a dictionary
MEMORY_SHARE = 1 / 64  # of the process's memory quota, for each such table
MIN_ENTRIES = 8192


def max_table_entries(settings: Settings) -> int:
    """The maximum number of entries of one table."""
    share_bytes = settings.cluster.quota.ram_mb * 2**20 * MEMORY_SHARE
    return max(MIN_ENTRIES, int(share_bytes / ENTRY_BYTES))
