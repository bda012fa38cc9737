"""The deploy file: a controller that was built as it says starts without compiling anything."""

from __future__ import annotations

import importlib.util
import os
import shlex
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

from ladderfield.cli import main

ROOT = Path(__file__).resolve().parent.parent
LIBRARIES = ("attr", "attrs", "click", "h11", "httptools", "idna", "msgspec", "outcome", "sniffio", "sortedcontainers")
LONG_AGO = 1_000_000_000  # older than any installed library, so that the build installs none

# Names every module that came from a source file whose compiled file is missing. run.py itself is a script, which
# Python never keeps compiled.
FIND_COMPILED_AT_START = """
import sys
import run
import ladderfield.server
for name, module in sorted(sys.modules.items()):
    spec = getattr(module, "__spec__", None)
    cached = spec.cached if spec is not None and spec.origin and spec.origin.endswith(".py") else None
    if cached is not None and name != "run":
        try:
            open(cached).close()
        except OSError:
            print(name, cached)
print("from", ladderfield.server.__file__)
"""


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A checkout with the libraries of this test run in the place where the build puts them."""
    for name in ("run.py", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path / name)
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    shutil.copytree(ROOT / "ladderfield", tmp_path / "ladderfield", ignore=shutil.ignore_patterns("__pycache__"))
    os.utime(tmp_path / "requirements.txt", (LONG_AGO, LONG_AGO))
    libraries = tmp_path / "target" / "deps"
    libraries.mkdir(parents=True)
    for name in (*LIBRARIES, "trio"):
        spec = importlib.util.find_spec(name)
        assert spec is not None and spec.origin is not None
        package = Path(spec.origin).parent
        (libraries / name).symlink_to(package, target_is_directory=True)
    return tmp_path


def test_nothing_is_compiled_when_a_controller_starts(checkout: Path) -> None:
    """Guards the start of a controller that has a third of a core.

    With the compiled files of the libraries and of the standard library out of sight, each start and restart took a
    second longer, in which submissions failed.
    """
    deploy = tomllib.loads((checkout / "deploy" / "service.toml").read_text())
    subprocess.run(["sh", "-c", deploy["build"]], cwd=checkout, check=True, timeout=120)
    arguments = shlex.split(deploy["run"])
    interpreter = arguments[: arguments.index("run.py")]
    found = subprocess.run(
        [*interpreter, "-c", FIND_COMPILED_AT_START],
        cwd=checkout,
        check=True,
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert found.stdout.splitlines() == [f"from {checkout}/target/app/ladderfield/server.py"]
    # What the build makes stays below target.
    assert not list((checkout / "ladderfield").rglob("*.pyc"))


@pytest.mark.parametrize("path", sorted((ROOT / "deploy").glob("*.toml")), ids=lambda path: path.stem)
def test_every_deploy_file_has_flags_that_the_command_takes_and_differs_in_these_only(path: Path) -> None:
    deploy, service = (tomllib.loads(one.read_text()) for one in (path, ROOT / "deploy" / "service.toml"))
    assert (deploy["production"], deploy["build"]) == (service["production"], service["build"])
    arguments = shlex.split(deploy["run"])
    flags = arguments[arguments.index("run.py") + 1 :]
    assert flags[-1] == "--config"
    main.commands["serve"].make_context("serve", [*flags, str(path)])
