"""Fails when a field is renamed in the encoding that other processes, the log or stored data have.

``encoded_messages.txt`` holds one encoded instance of each message, record, decision line, settings
object and stored value, without the names of their classes.
"""

import collections
import datetime
import enum
import importlib
import pathlib
import pkgutil

import msgspec
from msgspec import inspect

import passgate

EXPECTED_FILE = pathlib.Path(__file__).with_name("encoded_messages.txt")
MAX_DEPTH = 6
"""Levels of nested structs in an example; keeps examples of recursive types finite."""


def find_struct_classes():
    """Import all modules of passgate and return its struct classes."""
    for module in pkgutil.walk_packages(passgate.__path__, "passgate."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found, pending = [], [msgspec.Struct]
    while pending:
        for subclass in pending.pop().__subclasses__():
            pending.append(subclass)
            if subclass.__module__.startswith("passgate."):
                found.append(subclass)
    return found


def example_value(type_info, depth=0):
    """Return a value of a type that msgspec.inspect describes; raises TypeError for other kinds of types."""
    if isinstance(type_info, inspect.Metadata):
        return example_value(type_info.type, depth)
    example_by_kind = {
        inspect.BoolType: True,
        inspect.IntType: 1,
        inspect.FloatType: 0.5,
        inspect.StrType: "text",
        inspect.BytesType: b"bytes",
        inspect.ByteArrayType: b"bytes",
        inspect.NoneType: None,
        inspect.AnyType: "any",
        inspect.RawType: msgspec.Raw(b"{}"),
        inspect.DateTimeType: datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC),
    }
    if type(type_info) in example_by_kind:
        return example_by_kind[type(type_info)]
    if isinstance(type_info, inspect.EnumType):
        return next(iter(type_info.cls))
    if isinstance(type_info, inspect.LiteralType):
        return type_info.values[0]
    if isinstance(type_info, inspect.UnionType):
        alternatives = [option for option in type_info.types if not isinstance(option, inspect.NoneType)]
        return example_value(alternatives[0], depth)
    if isinstance(type_info, inspect.CollectionType):
        return example_collection(type_info, depth)
    if isinstance(type_info, inspect.TupleType):
        return tuple(example_value(item, depth) for item in type_info.item_types)
    if isinstance(type_info, inspect.DictType):
        return {example_value(type_info.key_type, depth): example_value(type_info.value_type, depth)}
    if isinstance(type_info, inspect.StructType):
        return example_instance(type_info.cls, depth + 1)
    if isinstance(type_info, inspect.CustomType):
        return type_info.cls("text")
    raise TypeError(f"no example of {type_info}")


def example_collection(type_info, depth):
    return [] if depth >= MAX_DEPTH else [example_value(type_info.item_type, depth)]


def example_instance(cls, depth=0):
    """Return an instance with an example in every field; raises TypeError if it is nested too deeply."""
    if depth > MAX_DEPTH:
        raise TypeError(f"{cls} is nested too deeply")
    fields = inspect.type_info(cls).fields
    return cls(**{field.name: example_value(field.type, depth) for field in fields})


def encode_example(cls):
    """Return an encoded example, or None for a class with a field that has none, such as a future."""
    try:
        return msgspec.json.encode(example_instance(cls), enc_hook=str).decode()
    except (TypeError, ValueError, NameError, AttributeError, RuntimeError, msgspec.MsgspecError):
        return None


def count_encodings():
    """Return the number of classes by the encoding of their examples."""
    return collections.Counter(
        line for cls in find_struct_classes() if (line := encode_example(cls)) is not None
    )


def test_messages_have_the_expected_encodings():
    expected = collections.Counter(EXPECTED_FILE.read_text(encoding="utf-8").splitlines())
    found = count_encodings()
    missing = [line for line, count in expected.items() if found[line] < count]
    assert not missing, f"encoded fields have changed; before: {missing}"


def test_a_renamed_field_changes_the_encoding():
    class Before(msgspec.Struct):
        kind: enum.Enum("Kind", {"A": "a"})
        parts: tuple[int, ...] = ()

    renamed = msgspec.defstruct("After", [("sort", str), ("parts", tuple[int, ...])])
    renamed_with_alias = msgspec.defstruct(
        "After", [("sort", str), ("parts", tuple[int, ...])], rename={"sort": "kind"}
    )
    assert encode_example(Before) == '{"kind":"a","parts":[1]}'
    assert encode_example(renamed) == '{"sort":"text","parts":[1]}'
    assert encode_example(renamed_with_alias) == '{"kind":"text","parts":[1]}'
