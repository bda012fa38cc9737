"""A real controller process whose outgoing connections can be cut one link at a time.

    python -m ladderfield.testing.linked_controller LINKS_FILE serve --config SETTINGS.json

Its connections come from the host that it listens on, so that others can tell whose they are. LINKS_FILE holds the
links that are held at present, as pairs of hosts; ``workers`` stands for all workers.
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

LOOK_S = 0.02


class LinksFile:
    """The links that are held, as the file says."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._changed_at = 0
        self._held: set[Link] = set()

    def held(self) -> set[Link]:
        """As of now."""
        changed_at = os.stat(self.path).st_mtime_ns
        if changed_at != self._changed_at:
            self._held = {Link(*pair) for pair in msgspec.json.decode(self.path.read_bytes(), type=list[list[str]])}
            self._changed_at = changed_at
        return self._held

    async def passes(self, link: Link) -> None:
        """Wait until what is sent in this direction arrives."""
        while blocked(link, self.held()):
            await trio.sleep(LOOK_S)


class LinkedConnector:
    """Stands for ``ladderfield.http.connect``."""

    def __init__(self, own_host: str, links: LinksFile) -> None:
        self.own_host, self.links = own_host, links

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """A connection from our own host, once both directions are open."""
        link = Link(self.own_host, host)
        await self.links.passes(link)
        await self.links.passes(Link(host, self.own_host))
        socket = trio.socket.socket()
        try:
            await socket.bind((self.own_host, 0))
            await socket.connect((host, port))
        except BaseException:
            socket.close()
            raise
        return LinkedStream(trio.SocketStream(socket), self.links, link)


def run() -> None:
    """Run the program with its connections cut as the file says."""
    links_file, *arguments = sys.argv[1:]
    settings = load(Path(arguments[arguments.index("--config") + 1]))
    connector = LinkedConnector(address(settings.bind)[0], LinksFile(Path(links_file)))
    http.connect = peers.connect = connector.connect
    main(arguments)


if __name__ == "__main__":
    run()
