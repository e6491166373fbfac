"""Guards over source files: sizes of functions and classes, import circles, writes to other objects' fields.

Each function takes the text of a module, or what was read from it, and returns what breaks the rule.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Set

Function = ast.FunctionDef | ast.AsyncFunctionDef
ATTRIBUTE_SETTERS = {"setattr", "delattr", "__setattr__", "__delattr__"}


@dataclass(frozen=True, slots=True)
class ClassShape:
    """What a class body defines.

    Attributes:
        name: The name of the class.
        methods: The names of its methods, properties among them; an overload counts once.
        fields: The names of the attributes that its body declares or its methods assign on `self`.
    """

    name: str
    methods: frozenset[str]
    fields: frozenset[str]


def function_lengths(source: str) -> dict[str, int]:
    """Return the length in lines of each function of a module, by its name and first line."""
    return {
        f"{node.name}:{node.lineno}": (node.end_lineno or node.lineno) - node.lineno + 1
        for node in ast.walk(ast.parse(source))
        if isinstance(node, Function)
    }


def class_shapes(source: str) -> list[ClassShape]:
    """Return the shape of each class of a module, nested classes among them."""
    classes = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.ClassDef)]
    return [_class_shape(node) for node in classes]


def _class_shape(node: ast.ClassDef) -> ClassShape:
    methods = [item for item in node.body if isinstance(item, Function)]
    fields = set(_declared_fields(node))
    for method in methods:
        fields.update(_fields_assigned_on_self(method))
    return ClassShape(node.name, frozenset(method.name for method in methods), frozenset(fields))


def _declared_fields(node: ast.ClassDef) -> Iterator[str]:
    for item in node.body:
        if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            yield item.target.id
        elif isinstance(item, ast.Assign) and _assigns_name(item, "__slots__"):
            yield from ast.literal_eval(item.value)


def _assigns_name(node: ast.Assign, name: str) -> bool:
    return any(isinstance(target, ast.Name) and target.id == name for target in node.targets)


def _fields_assigned_on_self(method: Function) -> Iterator[str]:
    for node in ast.walk(method):
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store) and _is_self(node.value):
            yield node.attr


def foreign_writes(source: str) -> list[str]:
    """Return each place of a module that sets or deletes an attribute of an object other than `self`.

    `self.other.field = value` is such a place too.  Changes of a container are not:
    `other.items.append(item)` and `other.items[key] = value` pass.
    """
    expressions = (node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.expr))
    return [f"line {node.lineno}: {ast.unparse(node)}" for node in expressions if _is_foreign_write(node)]


def _is_foreign_write(node: ast.expr) -> bool:
    match node:
        case ast.Attribute(value=owner, ctx=ast.Store() | ast.Del()):
            return not _is_self(owner)
        case ast.Name(id="self", ctx=ast.Store()):
            return True  # a rebound `self` would let any write pass
        case ast.Call(func=ast.Name(id=name), args=[changed, *_]) if name in ATTRIBUTE_SETTERS:
            return not _is_self(changed)
        case ast.Call(func=ast.Attribute(value=caller, attr=name), args=[changed, *_]):
            is_own = _is_self(caller) or _is_super(caller) or _is_self(changed)
            return name in ATTRIBUTE_SETTERS and not is_own
    return False


def _is_self(node: ast.expr) -> bool:
    return isinstance(node, ast.Name) and node.id == "self"


def _is_super(node: ast.expr) -> bool:
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "super"


def modules_in_circles(imports: Mapping[str, Set[str]]) -> set[str]:
    """Return the modules that import themselves through others.

    Args:
        imports: The modules that each module imports, imports for type checking among them.
    """
    return {module for module in imports if module in _reachable_from(module, imports)}


def _reachable_from(module: str, imports: Mapping[str, Set[str]]) -> set[str]:
    reached: set[str] = set()
    to_visit = set(imports[module])
    while to_visit:
        imported = to_visit.pop()
        reached.add(imported)
        to_visit |= imports.get(imported, set()) - reached
    return reached
