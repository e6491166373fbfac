"""Static checks of source files: sizes of functions and classes, import cycles, writes to other objects.

The functions return the measured sizes or the violations; the tests compare them with the limits.
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
class ClassMembers:
    """The methods and fields of a class.

    Attributes:
        name: The name of the class.
        methods: The names of its methods, including properties; an overloaded method counts once.
        fields: The names of the attributes that the class declares or that its methods assign on `self`.
    """

    name: str
    methods: frozenset[str]
    fields: frozenset[str]


def function_lengths(source: str) -> dict[str, int]:
    """Return the number of lines of each function in a module, by the function's name and first line."""
    return {
        f"{node.name}:{node.lineno}": (node.end_lineno or node.lineno) - node.lineno + 1
        for node in ast.walk(ast.parse(source))
        if isinstance(node, Function)
    }


def class_members(source: str) -> list[ClassMembers]:
    """Return the members of each class in a module, including nested classes."""
    classes = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.ClassDef)]
    return [_members_of(node) for node in classes]


def _members_of(node: ast.ClassDef) -> ClassMembers:
    methods = [item for item in node.body if isinstance(item, Function)]
    fields = set(_declared_fields(node))
    for method in methods:
        fields.update(_fields_assigned_on_self(method))
    return ClassMembers(node.name, frozenset(method.name for method in methods), frozenset(fields))


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


def writes_to_other_objects(source: str) -> list[str]:
    """Return each expression in a module that sets or deletes an attribute of an object other than `self`.

    This includes `self.other.field = value`, but not changes of a container such as
    `other.items.append(item)` and `other.items[key] = value`.
    """
    expressions = (node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.expr))
    return [
        f"line {node.lineno}: {ast.unparse(node)}" for node in expressions if _writes_to_other_object(node)
    ]


def _writes_to_other_object(node: ast.expr) -> bool:
    match node:
        case ast.Attribute(value=owner, ctx=ast.Store() | ast.Del()):
            return not _is_self(owner)
        case ast.Name(id="self", ctx=ast.Store()):
            return True  # after `self` is rebound, writes to it are no longer checked
        case ast.Call(func=ast.Name(id=name), args=[target, *_]) if name in ATTRIBUTE_SETTERS:
            return not _is_self(target)
        case ast.Call(func=ast.Attribute(value=caller, attr=name), args=[target, *_]):
            is_own_attribute = _is_self(caller) or _is_super(caller) or _is_self(target)
            return name in ATTRIBUTE_SETTERS and not is_own_attribute
    return False


def _is_self(node: ast.expr) -> bool:
    return isinstance(node, ast.Name) and node.id == "self"


def _is_super(node: ast.expr) -> bool:
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "super"


def modules_in_import_cycles(imports: Mapping[str, Set[str]]) -> set[str]:
    """Return the modules that are part of an import cycle.

    Args:
        imports: The modules that each module imports, including imports for type checking.
    """
    return {module for module in imports if module in _reachable_from(module, imports)}


def _reachable_from(module: str, imports: Mapping[str, Set[str]]) -> set[str]:
    visited: set[str] = set()
    to_visit = set(imports[module])
    while to_visit:
        imported = to_visit.pop()
        visited.add(imported)
        to_visit |= imports.get(imported, set()) - visited
    return visited
