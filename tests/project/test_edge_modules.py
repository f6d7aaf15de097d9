"""The modules of `edge` import one another without circles, and the request path is composed."""

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

EDGE = Path(__file__).parent.parent.parent / "packages" / "edge" / "ryelock" / "edge"
PACKAGE = "ryelock.edge"
REQUEST_PATH_ROOT = "handler"
FUNCTION_LINES_MOST = 39


def syntax_trees() -> dict[str, ast.Module]:
    """The syntax tree of each module, by its name in the package."""
    return {file.stem: ast.parse(file.read_text()) for file in sorted(EDGE.glob("*.py"))}


def imported_modules(tree: ast.Module) -> set[str]:
    """Modules of the package that a module imports, also inside functions and for types only."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            if node.module == PACKAGE:
                found |= {alias.name for alias in node.names}
            elif node.module.startswith(f"{PACKAGE}."):
                found.add(node.module.removeprefix(f"{PACKAGE}."))
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
            found |= {
                name.removeprefix(f"{PACKAGE}.") for name in names if name.startswith(f"{PACKAGE}.")
            }
    return found


def import_graph() -> dict[str, set[str]]:
    """Each module with the modules of the package that it imports."""
    return {name: imported_modules(tree) for name, tree in syntax_trees().items()}


def request_path(graph: dict[str, set[str]]) -> set[str]:
    """The modules that the request handler reaches by imports, itself among them."""
    found: set[str] = set()
    waiting = [REQUEST_PATH_ROOT]
    while waiting:
        name = waiting.pop()
        if name not in found:
            found.add(name)
            waiting += graph[name]
    return found


def lines_without_docstring(function: ast.FunctionDef | ast.AsyncFunctionDef) -> int:
    """The length of a function, for which its docstring does not count."""
    assert function.end_lineno is not None
    docstring = ast.get_docstring(function, clean=False)
    lines = function.end_lineno - function.lineno + 1
    return lines - (docstring.count("\n") + 1 if docstring is not None else 0)


class EdgeModuleTests(unittest.TestCase):
    def test_modules_import_one_another_without_a_circle(self) -> None:
        graph = import_graph()
        self.assertEqual(set(), set().union(*graph.values()) - graph.keys())
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"a circle of imports: {' -> '.join(error.args[1])}")

    def test_no_class_of_the_request_path_inherits_another(self) -> None:
        trees = syntax_trees()
        path = request_path(import_graph())
        self.assertGreater(len(path), 15)
        classes = {
            node.name: [ast.unparse(base) for base in node.bases]
            for name in path
            for node in ast.walk(trees[name])
            if isinstance(node, ast.ClassDef)
        }
        inherited = {name: bases for name, bases in classes.items() if classes.keys() & set(bases)}
        self.assertEqual({}, inherited)

    def test_functions_of_the_request_path_are_short(self) -> None:
        trees = syntax_trees()
        long = {
            f"{name}.{node.name}": lines
            for name in request_path(import_graph())
            for node in ast.walk(trees[name])
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            and (lines := lines_without_docstring(node)) > FUNCTION_LINES_MOST
        }
        self.assertEqual({}, long)

    def test_a_circle_would_be_found(self) -> None:
        tree = ast.parse(f"def later():\n    from {PACKAGE}.handler import RequestHandler\n")
        graph = import_graph()
        graph["context"] |= imported_modules(tree)
        with self.assertRaises(CycleError):
            TopologicalSorter(graph).prepare()
