"""The package has no import cycles, not even among imports for type checking."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

PACKAGE = Path(__file__).parent


def imported_by(path: Path) -> set[str]:
    """The package's modules that a file imports, at module level or elsewhere."""
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("ladderfield"):
            names.add(node.module or "")
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names if alias.name.startswith("ladderfield"))
    return names


def test_there_are_no_import_cycles() -> None:
    graph = {}
    for path in PACKAGE.rglob("*.py"):
        if path.name.startswith("test_") or path.parent.name == "testing":
            continue
        graph[".".join(["ladderfield", *path.relative_to(PACKAGE).with_suffix("").parts])] = imported_by(path)
    assert len(graph) > 60
    list(TopologicalSorter(graph).static_order())  # the CycleError names the modules
