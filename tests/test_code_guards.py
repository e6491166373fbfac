"""Tests of the static checks: they find violations in samples, and accept valid code."""

from __future__ import annotations

import pytest

from tests.support.code_guards import (
    class_members,
    function_lengths,
    modules_in_import_cycles,
    writes_to_other_objects,
)

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


def test_function_lengths_are_measured() -> None:
    source = "class Sample:\n    async def wait(self):\n        pass\n\n\ndef short(): pass\n"
    assert function_lengths(source) == {"wait:2": 2, "short:6": 1}


def test_methods_of_classes_are_found() -> None:
    sample, slots = class_members(CLASS_SAMPLE)
    assert sample.methods == {"__init__", "method", "wait"}
    assert slots.methods == set()


def test_fields_of_classes_are_found() -> None:
    sample, slots = class_members(CLASS_SAMPLE)
    assert sample.fields == {"declared", "assigned", "first", "rest", "counted"}
    assert slots.fields == {"one", "two"}


@pytest.mark.parametrize(
    "statement",
    [
        pytest.param("other.field = 1", id="assignment"),
        pytest.param("self.other.field = 1", id="field of a field"),
        pytest.param("self.field = other.field = 1", id="chained assignment"),
        pytest.param("self.field, (x, *other.field) = 1, (2, 3)", id="unpacking"),
        pytest.param("other.field: int = 1", id="annotated assignment"),
        pytest.param("other.field += 1", id="augmented assignment"),
        pytest.param("del other.field", id="deletion"),
        pytest.param("for other.field in range(3): pass", id="loop target"),
        pytest.param("with open(x) as other.field: pass", id="with target"),
        pytest.param("[0 for other.field in range(3)]", id="comprehension target"),
        pytest.param("other().field = 1", id="field of a call result"),
        pytest.param("other[0].field = 1", id="field of an item"),
        pytest.param("cls.field = 1", id="field of the class"),
        pytest.param("self = other", id="self rebound"),
        pytest.param("setattr(other, 'field', 1)", id="setattr"),
        pytest.param("delattr(self.other, 'field')", id="delattr"),
        pytest.param("object.__setattr__(other, 'field', 1)", id="setattr method of object"),
        pytest.param("other.__delattr__('field')", id="delattr method of another object"),
    ],
)
def test_a_write_to_an_attribute_of_another_object_is_found(statement: str) -> None:
    assert len(writes_to_other_objects(f"def function(self):\n    {statement}\n")) == 1


@pytest.mark.parametrize(
    "statement",
    [
        pytest.param("self.field = 1", id="own field"),
        pytest.param("self.field += other.field", id="own field, value of another object"),
        pytest.param("del self.field", id="deletion of own field"),
        pytest.param("other = self.other", id="local name"),
        pytest.param("other.items[0] = 1", id="subscript"),
        pytest.param("other.items.append(1)", id="method of a container"),
        pytest.param("setattr(self, 'field', 1)", id="setattr of self"),
        pytest.param("object.__setattr__(self, 'field', 1)", id="setattr of a frozen class"),
        pytest.param("super().__setattr__('field', 1)", id="setattr of the base"),
        pytest.param("getattr(other, 'field')", id="getattr"),
    ],
)
def test_a_write_to_an_attribute_of_self_is_accepted(statement: str) -> None:
    assert writes_to_other_objects(f"def function(self):\n    {statement}\n") == []


def test_a_write_is_reported_with_its_line_and_target() -> None:
    assert writes_to_other_objects("x = 1\nself.lease.credits -= x\n") == ["line 2: self.lease.credits"]


@pytest.mark.parametrize(
    ("imports", "in_cycles"),
    [
        pytest.param({"a": {"b"}, "b": {"a"}}, {"a", "b"}, id="cycle of two"),
        pytest.param({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}, {"a", "b", "c"}, id="cycle of three"),
        pytest.param({"a": {"a"}}, {"a"}, id="module that imports itself"),
        pytest.param({"a": {"b", "c"}, "b": {"c"}, "c": {"json"}}, set(), id="no cycle"),
    ],
)
def test_modules_in_import_cycles_are_found(imports: dict[str, set[str]], in_cycles: set[str]) -> None:
    assert modules_in_import_cycles(imports) == in_cycles
