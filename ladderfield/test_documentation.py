"""Tests, guards and modules named in the documentation exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).parent
DOCS = PACKAGE.parent / "docs"
DESIGN = DOCS / "design.md"
FAULT_TABLE_HEADING = "## Meetings of troubles"
CONNECTIVITY = DOCS / "design-connectivity.md"
ABBREVIATIONS = {
    "grace": "test_grace.py",
    "cancelled": "test_cancelled.py",
    "leaders": "test_leader_changes.py",
    "consistency": "jobs/test_consistency.py",
    "messages": "workers/test_old_messages.py",
    "placement": "leader/test_placement.py",
    "stranded": "leader/test_stranded.py",
}
NOT_GUARDS = {"back", "cancel_s"}  # these are settings


class Definitions(ast.NodeVisitor):
    """Collects what a source file defines, by plain name and as ``Class.member``.

    These are functions, classes, assigned variables, members and attributes.
    """

    def __init__(self) -> None:
        self.names: set[str] = set()
        self._classes: list[str] = []

    def add(self, name: str) -> None:
        """Record a name, and its qualified form inside a class."""
        self.names.add(name)
        if self._classes:
            self.names.add(f"{self._classes[-1]}.{name}")

    def visit_ClassDef(self, node: ast.ClassDef) -> None:
        """Record a class and its members."""
        self.add(node.name)
        self._classes.append(node.name)
        self.generic_visit(node)
        self._classes.pop()

    def visit_FunctionDef(self, node: ast.FunctionDef | ast.AsyncFunctionDef) -> None:
        """Record a function or method."""
        self.add(node.name)
        self.generic_visit(node)

    def visit_AsyncFunctionDef(self, node: ast.AsyncFunctionDef) -> None:
        """Record a coroutine function."""
        self.visit_FunctionDef(node)

    def visit_Name(self, node: ast.Name) -> None:
        """Record an assigned name."""
        if isinstance(node.ctx, ast.Store):
            self.add(node.id)

    def visit_Attribute(self, node: ast.Attribute) -> None:
        """Record an assigned attribute."""
        if isinstance(node.ctx, ast.Store):
            self.add(node.attr)
        self.generic_visit(node)


def defined_in(path: Path) -> set[str]:
    """The names that a file defines, with and without its module name."""
    if not path.exists():
        return set()
    visitor = Definitions()
    visitor.visit(ast.parse(path.read_text(encoding="utf-8")))
    return visitor.names | {f"{path.stem}.{name}" for name in visitor.names}


def fault_table_rows() -> list[tuple[str, str]]:
    """The guards and the tests of each row of the fault table."""
    section = DESIGN.read_text(encoding="utf-8").split(FAULT_TABLE_HEADING)[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| ")][2:]
    table = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    assert all(len(row) == 3 for row in table), "a row has three columns"
    return [(row[1], row[2]) for row in table]


def code_spans(text: str) -> list[str]:
    """The texts between backquotes."""
    return re.findall(r"`([^`]+)`", text)


def test_every_module_named_in_the_design_page_exists() -> None:
    paths = {span for span in code_spans(DESIGN.read_text(encoding="utf-8")) if span.endswith(".py")}
    assert len(paths) >= 20
    assert {path for path in paths if not (PACKAGE / path).exists()} == set()


def test_every_test_named_in_an_incident_exists() -> None:
    pages = [page.read_text(encoding="utf-8") for page in (DOCS / "incidents").glob("*.md")]
    named = [pair for page in pages for pair in re.findall(r"`(test_\w+)`\s+\(([\w/]+\.py)\)", page)]
    assert len(named) >= 7
    assert [(test, path) for test, path in named if test not in defined_in(PACKAGE / path)] == []
    tests = set[str]().union(*(defined_in(path) for path in PACKAGE.rglob("test_*.py")))
    assert {test for page in pages for test in re.findall(r"`(test_\w+)`", page)} <= tests


def test_the_fault_table_has_rows() -> None:
    assert len(fault_table_rows()) >= 27


def test_every_file_and_test_in_the_fault_table_exists() -> None:
    missing = []
    for _, tests in fault_table_rows():
        path: Path | None = None
        for word in re.findall(r"`[^`]+`|\b[a-z]+(?=: )", tests):
            span = word.strip("`")
            if span.endswith(".py"):
                path = PACKAGE / span
            elif span in ABBREVIATIONS:
                path = PACKAGE / ABBREVIATIONS[span]
            elif span.startswith("test_") and (path is None or span not in defined_in(path)):
                missing.append(f"{path}: {span}")
        if path is None or not path.exists():
            missing.append(tests)
    assert not missing


def test_every_guard_in_the_fault_table_exists() -> None:
    sources = [
        path for path in PACKAGE.rglob("*.py") if not path.name.startswith("test_") and path.parent.name != "testing"
    ]
    known = set[str]().union(*(defined_in(path) for path in sources))
    guards = {span for guard, _ in fault_table_rows() for span in code_spans(guard)} - NOT_GUARDS
    assert len(guards) >= 35
    assert guards - known == set()


def test_every_guard_and_test_in_the_link_table_exists() -> None:
    section = CONNECTIVITY.read_text(encoding="utf-8").split("## Links against decisions")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| ")][2:]
    table = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    assert len(table) >= 12 and all(len(row) == 8 for row in table)
    assert not [cell for row in table for cell in row if "open" in cell], "no cell is left open"
    known = set[str]().union(*(defined_in(path) for path in PACKAGE.rglob("*.py")))
    named = {span for row in table for cell in row[-2:] for span in code_spans(cell)}
    assert len(named) >= 20 and named - known == set()


def test_every_module_named_in_the_connectivity_and_zone_pages_exists() -> None:
    for page in (CONNECTIVITY, DOCS / "design-zones.md"):
        paths = {span for span in code_spans(page.read_text(encoding="utf-8")) if span.endswith(".py")}
        assert {path for path in paths if not (PACKAGE / path).exists()} == set(), page.name
