"""Structure of consensus: no import cycles, and composition instead of inheritance."""

import ast
import importlib
import inspect
from graphlib import TopologicalSorter
from pathlib import Path

import ryelock.consensus

PACKAGE = "ryelock.consensus"
FOLDER = Path(ryelock.consensus.__file__ or "").parent
MODULES = sorted(path.stem for path in FOLDER.glob("*.py") if path.stem != "__init__")


def imports_of(module: str) -> set[str]:
    """Return the consensus modules that a module imports, at any level of its code."""
    found: set[str] = set()
    for node in ast.walk(ast.parse((FOLDER / f"{module}.py").read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module, *(f"{node.module}.{alias.name}" for alias in node.names)]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        for name in names:
            imported = name.removeprefix(f"{PACKAGE}.").split(".")[0]
            if name.startswith(f"{PACKAGE}.") and imported in MODULES:
                found.add(imported)
            assert name != PACKAGE, f"{module} imports the whole package"
    return found


def test_the_modules_import_one_way() -> None:
    graph = {module: imports_of(module) for module in MODULES}
    assert sum(len(imported) for imported in graph.values()) > 50
    assert list(TopologicalSorter(graph).static_order())


def test_no_part_inherits_another() -> None:
    """Only errors inherit from a class of this package."""
    classes = [
        found
        for module in MODULES
        for found in vars(importlib.import_module(f"{PACKAGE}.{module}")).values()
        if inspect.isclass(found) and found.__module__ == f"{PACKAGE}.{module}"
    ]
    assert len(classes) > 40
    for found in classes:
        bases = [base.__name__ for base in found.__mro__[1:] if base.__module__.startswith(PACKAGE)]
        assert not bases or issubclass(found, Exception), f"{found.__name__} inherits {bases}"
