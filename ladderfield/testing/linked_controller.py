"""A real controller process whose outgoing connections can be cut one link at a time.

    python -m ladderfield.testing.linked_controller LINKS_FILE serve --config SETTINGS.json

Its connections originate from the host that it listens on, so that a link is identified by a pair of hosts. LINKS_FILE
lists the links that are blocked at present as such pairs; ``workers`` stands for all workers.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import msgspec
import trio

from ladderfield import http, peers
from ladderfield.cli import main
from ladderfield.settings import address, load
from ladderfield.testing.network import Link, LinkedStream, blocked

POLL_INTERVAL_S = 0.02


class LinksFile:
    """The blocked links, read from a file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._modified_ns = 0
        self._blocked: set[Link] = set()

    def blocked_links(self) -> set[Link]:
        """The links that are blocked now; the file is read again after a change."""
        modified_ns = os.stat(self.path).st_mtime_ns
        if modified_ns != self._modified_ns:
            self._blocked = {Link(*pair) for pair in msgspec.json.decode(self.path.read_bytes(), type=list[list[str]])}
            self._modified_ns = modified_ns
        return self._blocked

    async def wait_open(self, link: Link) -> None:
        """Wait until the link is not blocked."""
        while blocked(link, self.blocked_links()):
            await trio.sleep(POLL_INTERVAL_S)


class LinkedConnector:
    """Provides the replacement for ``ladderfield.http.connect``."""

    def __init__(self, own_host: str, links: LinksFile) -> None:
        self.own_host, self.links = own_host, links

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Connect from the controller's own host, once both directions are open."""
        link = Link(self.own_host, host)
        await self.links.wait_open(link)
        await self.links.wait_open(Link(host, self.own_host))
        socket = trio.socket.socket()
        try:
            await socket.bind((self.own_host, 0))
            await socket.connect((host, port))
        except BaseException:
            socket.close()
            raise
        return LinkedStream(trio.SocketStream(socket), self.links, link)


def run() -> None:
    """Run the command line with all outgoing connections subject to the links file."""
    links_file, *arguments = sys.argv[1:]
    settings = load(Path(arguments[arguments.index("--config") + 1]))
    connector = LinkedConnector(address(settings.bind)[0], LinksFile(Path(links_file)))
    http.connect = peers.connect = connector.connect
    main(arguments)


if __name__ == "__main__":
    run()
