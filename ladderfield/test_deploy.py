"""The deploy files: a controller built by their command starts without compiling any module."""

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
OLD_MTIME = 1_000_000_000  # as mtime older than any installed library, so that the build installs none

# Prints every module from a source file whose compiled file is missing. run.py is a script, which Python never caches.
PRINT_COMPILED_AT_START = """
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
    """A checkout with the libraries of this test run linked to where the build would install them."""
    for name in ("run.py", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path / name)
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    shutil.copytree(ROOT / "ladderfield", tmp_path / "ladderfield", ignore=shutil.ignore_patterns("__pycache__"))
    os.utime(tmp_path / "requirements.txt", (OLD_MTIME, OLD_MTIME))
    libraries = tmp_path / "target" / "deps"
    libraries.mkdir(parents=True)
    for name in (*LIBRARIES, "trio"):
        spec = importlib.util.find_spec(name)
        assert spec is not None and spec.origin is not None
        package = Path(spec.origin).parent
        (libraries / name).symlink_to(package, target_is_directory=True)
    return tmp_path


def test_no_module_is_compiled_when_a_controller_starts(checkout: Path) -> None:
    """Guards against a slow start of a controller, which has a third of a core.

    Without the compiled files of the libraries and the standard library, each start and restart took a second longer,
    during which submissions failed.
    """
    deploy = tomllib.loads((checkout / "deploy" / "service.toml").read_text())
    subprocess.run(["sh", "-c", deploy["build"]], cwd=checkout, check=True, timeout=120)
    arguments = shlex.split(deploy["run"])
    interpreter = arguments[: arguments.index("run.py")]
    result = subprocess.run(
        [*interpreter, "-c", PRINT_COMPILED_AT_START],
        cwd=checkout,
        check=True,
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert result.stdout.splitlines() == [f"from {checkout}/target/app/ladderfield/server.py"]
    # The build writes only below target.
    assert not list((checkout / "ladderfield").rglob("*.pyc"))


@pytest.mark.parametrize("path", sorted((ROOT / "deploy").glob("*.toml")), ids=lambda path: path.stem)
def test_every_deploy_file_has_valid_flags_and_differs_only_in_them(path: Path) -> None:
    deploy, service = (tomllib.loads(file.read_text()) for file in (path, ROOT / "deploy" / "service.toml"))
    assert (deploy["production"], deploy["build"]) == (service["production"], service["build"])
    arguments = shlex.split(deploy["run"])
    flags = arguments[arguments.index("run.py") + 1 :]
    assert flags[-1] == "--config"
    main.commands["serve"].make_context("serve", [*flags, str(path)])
