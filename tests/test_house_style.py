"""Guards the import rules that the linter cannot check."""

import ast
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("balsamlug", "balsamlug_standins", "bench", "soak", "tests")
SOURCES = sorted(
    path for package in PACKAGES for path in (ROOT / package).rglob("*.py")
)
# The Google Python Style Guide exempts these modules from the rule.
EXEMPT = ("typing", "collections.abc", "__future__")


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


@pytest.mark.parametrize(
    "path", SOURCES, ids=[str(path.relative_to(ROOT)) for path in SOURCES]
)
def test_imports_modules_not_names(path):
    tree = ast.parse(path.read_text())
    names = [
        f"{node.module}.{alias.name}"
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module not in EXEMPT
        for alias in node.names
        if not _is_module(node.module, alias.name)
    ]
    assert not names


def test_product_never_imports_the_standins():
    offenders = [
        path
        for path in (ROOT / "balsamlug").rglob("*.py")
        if "balsamlug_standins" in path.read_text()
    ]
    assert not offenders
