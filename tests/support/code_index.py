"""The names that the packages define, so that a test can hold a page to them."""

import ast
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PACKAGES = ROOT / "packages"


def own_members(definition: ast.ClassDef) -> set[str]:
    """Methods, properties, annotated fields, enum members, slots and attributes of one class."""
    members: set[str] = set()
    for node in ast.walk(definition):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(node.name)
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            members.add(node.target.id)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            members.add(node.attr)
    for statement in definition.body:
        if isinstance(statement, ast.Assign):
            members.update(
                target.id for target in statement.targets if isinstance(target, ast.Name)
            )
    return members


@cache
def members_by_class() -> dict[str, set[str]]:
    """Each class of the packages with its members; classes of one name are taken together."""
    found: dict[str, set[str]] = {}
    for file in PACKAGES.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, set()).update(own_members(node))
    return found


@cache
def functions() -> set[str]:
    """Every function of a module, by name."""
    return {
        node.name
        for file in PACKAGES.rglob("*.py")
        for node in ast.parse(file.read_text()).body
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


def is_defined(name: str) -> bool:
    """Whether `Class`, `Class.member` or a function is defined in the packages."""
    owner, _, member = name.partition(".")
    if not member:
        return owner in members_by_class() or owner in functions()
    return member in members_by_class().get(owner, set())


def is_path(path: str) -> bool:
    """Whether a path exists, from the root or, short, from a package's own folder."""
    package = path.partition("/")[0]
    return (ROOT / path).exists() or (PACKAGES / package / "ryelock" / path).exists()
