"""The guards over source files find the fault in a small bad sample, and pass the good one beside it."""

from __future__ import annotations

import pytest

from tests.support.code_guards import class_shapes, foreign_writes, function_lengths, modules_in_circles

CLASS_SAMPLE = """
class Sample:
    declared: int = 0

    def __init__(self):
        self.assigned, (self.first, *self.rest) = 0, (1, 2, 3)

    @property
    def method(self):
        self.declared += 1
        for self.counted in range(3):
            self.items[0] = 1

    async def wait(self):
        other.field = 1

class Slots:
    __slots__ = ("one", "two")
"""


def test_the_length_of_a_function_is_found() -> None:
    source = "class Sample:\n    async def wait(self):\n        pass\n\n\ndef short(): pass\n"
    assert function_lengths(source) == {"wait:2": 2, "short:6": 1}


def test_the_methods_of_a_class_are_found() -> None:
    sample, slots = class_shapes(CLASS_SAMPLE)
    assert sample.methods == {"__init__", "method", "wait"}
    assert slots.methods == set()


def test_the_fields_of_a_class_are_found() -> None:
    sample, slots = class_shapes(CLASS_SAMPLE)
    assert sample.fields == {"declared", "assigned", "first", "rest", "counted"}
    assert slots.fields == {"one", "two"}


@pytest.mark.parametrize(
    "statement",
    [
        pytest.param("other.field = 1", id="assignment"),
        pytest.param("self.other.field = 1", id="field of a field"),
        pytest.param("self.field = other.field = 1", id="second target"),
        pytest.param("self.field, (x, *other.field) = 1, (2, 3)", id="part of a target"),
        pytest.param("other.field: int = 1", id="annotated assignment"),
        pytest.param("other.field += 1", id="augmented assignment"),
        pytest.param("del other.field", id="deletion"),
        pytest.param("for other.field in range(3): pass", id="loop target"),
        pytest.param("with open(x) as other.field: pass", id="context target"),
        pytest.param("[0 for other.field in range(3)]", id="comprehension target"),
        pytest.param("other().field = 1", id="field of a result"),
        pytest.param("other[0].field = 1", id="field of an item"),
        pytest.param("cls.field = 1", id="field of the class"),
        pytest.param("self = other", id="self bound anew"),
        pytest.param("setattr(other, 'field', 1)", id="setattr"),
        pytest.param("delattr(self.other, 'field')", id="delattr"),
        pytest.param("object.__setattr__(other, 'field', 1)", id="setattr of object"),
        pytest.param("other.__delattr__('field')", id="delattr of another object"),
    ],
)
def test_a_write_to_another_objects_field_is_found(statement: str) -> None:
    assert len(foreign_writes(f"def function(self):\n    {statement}\n")) == 1


@pytest.mark.parametrize(
    "statement",
    [
        pytest.param("self.field = 1", id="own field"),
        pytest.param("self.field += other.field", id="own field of another's"),
        pytest.param("del self.field", id="own field deleted"),
        pytest.param("other = self.other", id="local name"),
        pytest.param("other.items[0] = 1", id="subscript"),
        pytest.param("other.items.append(1)", id="method of a container"),
        pytest.param("setattr(self, 'field', 1)", id="setattr of self"),
        pytest.param("object.__setattr__(self, 'field', 1)", id="setattr of a frozen class"),
        pytest.param("super().__setattr__('field', 1)", id="setattr of the base"),
        pytest.param("getattr(other, 'field')", id="getattr"),
    ],
)
def test_a_write_to_an_own_field_passes(statement: str) -> None:
    assert foreign_writes(f"def function(self):\n    {statement}\n") == []


def test_a_foreign_write_is_reported_with_its_line_and_target() -> None:
    assert foreign_writes("x = 1\nself.lease.credits -= x\n") == ["line 2: self.lease.credits"]


@pytest.mark.parametrize(
    ("imports", "in_circles"),
    [
        pytest.param({"a": {"b"}, "b": {"a"}}, {"a", "b"}, id="two"),
        pytest.param({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}, {"a", "b", "c"}, id="three"),
        pytest.param({"a": {"a"}}, {"a"}, id="itself"),
        pytest.param({"a": {"b", "c"}, "b": {"c"}, "c": {"json"}}, set(), id="none"),
    ],
)
def test_modules_in_a_circle_of_imports_are_found(imports: dict[str, set[str]], in_circles: set[str]) -> None:
    assert modules_in_circles(imports) == in_circles
