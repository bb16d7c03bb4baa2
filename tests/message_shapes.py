"""Descriptions and examples of the types of messages.

A description holds what decides on the encoding: fields, tags, defaults and options, but no names of classes.
``rebuild`` makes a type of it, so messages can be decoded as an older build did without that build's code.

>>> class Ping(msgspec.Struct):
...     number: int
...     note: str = ""
>>> describe_type(Ping)
{'fields': [['number', 'int'], ['note', 'str', '']]}
>>> msgspec.json.decode(b'{"number":1,"new":2}', type=rebuild(describe_type(Ping))).number
1
>>> [(msgspec.json.encode(value), is_full) for value, is_full in list_examples_of(Ping)]
[(b'{"number":7,"note":"te-xt"}', True), (b'{"number":7,"note":""}', False)]
"""

import datetime
import enum

import msgspec
from msgspec import inspect

# --- descriptions of types ---------------------------------------------------------

SCALARS = {
    inspect.BoolType: ("bool", bool),
    inspect.IntType: ("int", int),
    inspect.FloatType: ("float", float),
    inspect.StrType: ("str", str),
    inspect.BytesType: ("bytes", bytes),
    inspect.ByteArrayType: ("bytes", bytes),
    inspect.NoneType: ("none", None),
    inspect.AnyType: ("raw", msgspec.Raw),
    inspect.RawType: ("raw", msgspec.Raw),
    inspect.DateTimeType: ("datetime", datetime.datetime),
}
TYPE_BY_SCALAR = dict(SCALARS.values())


def describe_type(message_type):
    """Return the description of a class or union."""
    return describe(inspect.type_info(message_type))


def describe(type_info):
    """Return a type, as msgspec.inspect describes it, in JSON's types and without the names of classes."""
    if isinstance(type_info, inspect.Metadata):
        return describe(type_info.type)
    if type(type_info) in SCALARS:
        return SCALARS[type(type_info)][0]
    if isinstance(type_info, inspect.EnumType):
        return {"enum": [member.value for member in type_info.cls]}
    if isinstance(type_info, inspect.LiteralType):
        return {"enum": list(type_info.values)}
    if isinstance(type_info, inspect.UnionType):
        return {"union": [describe(option) for option in type_info.types]}
    if isinstance(type_info, inspect.CollectionType):
        return {"list": describe(type_info.item_type)}
    if isinstance(type_info, inspect.TupleType):
        return {"tuple": [describe(item) for item in type_info.item_types]}
    if isinstance(type_info, inspect.DictType):
        return {"dict": [describe(type_info.key_type), describe(type_info.value_type)]}
    if isinstance(type_info, inspect.StructType):
        return describe_struct(type_info)
    raise TypeError(f"no description of {type_info}")


def describe_struct(type_info):
    config = type_info.cls.__struct_config__
    fields = []
    for index, field in enumerate(type_info.fields):
        name = f"item_{index}" if config.array_like else field.encode_name
        default = [] if field.required else [msgspec.to_builtins(default_of(field))]
        fields.append([name, describe(field.type), *default])
    description = {"fields": fields}
    if config.tag is not None:
        description["tag"] = [config.tag_field, config.tag]
    for option in ("array_like", "forbid_unknown_fields", "omit_defaults"):
        if getattr(config, option):
            description[option] = True
    return description


def default_of(field):
    """Return the default of a field; raises LookupError if it is required."""
    if field.default is not msgspec.NODEFAULT:
        return field.default
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    raise LookupError(f"{field.name} has no default")


def rebuild(description):
    """Return a type from its description; it decodes and encodes what the described type did."""
    if isinstance(description, str):
        return TYPE_BY_SCALAR[description]
    if "enum" in description:
        return enum.Enum(
            "Choice", {f"value_{index}": value for index, value in enumerate(description["enum"])}
        )
    if "union" in description:
        union = rebuild(description["union"][0])
        for option in description["union"][1:]:
            union |= rebuild(option)
        return union
    if "list" in description:
        return list[rebuild(description["list"])]
    if "tuple" in description:
        return tuple[tuple(rebuild(item) for item in description["tuple"])]
    if "dict" in description:
        key, value = description["dict"]
        return dict[rebuild(key), rebuild(value)]
    return rebuild_struct(description)


def rebuild_struct(description):
    fields = []
    for name, field_type, *default in description["fields"]:
        rebuilt = rebuild(field_type)
        defaults = [
            msgspec.field(default_factory=lambda d=value, t=rebuilt: msgspec.convert(d, t))
            for value in default
        ]
        fields.append((name, rebuilt, *defaults))
    tag_field, tag = description.get("tag", (None, None))
    options = {
        name: description.get(name, False)
        for name in ("array_like", "forbid_unknown_fields", "omit_defaults")
    }
    return msgspec.defstruct("Rebuilt", fields, kw_only=True, tag_field=tag_field, tag=tag, **options)


# --- examples of messages ------------------------------------------------------------

SCALAR_EXAMPLES = {
    inspect.BoolType: (True, False),
    inspect.IntType: (7, 8),
    inspect.FloatType: (0.5, 0.25),
    inspect.StrType: ("te-xt", "other-text"),
    inspect.BytesType: (b"bytes",),
    inspect.ByteArrayType: (b"bytes",),
    inspect.AnyType: (msgspec.Raw(b'{"k":1}'),),
    inspect.RawType: (msgspec.Raw(b'{"k":1}'),),
    inspect.DateTimeType: (datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC),),
}


def list_examples_of(message_type):
    """Return the examples of a class or union; see ``list_examples``."""
    return list_examples(inspect.type_info(message_type))


def list_examples(type_info, default=msgspec.NODEFAULT):
    """Return pairs of a value and whether it has other than default values in all fields.

    The first pair's value has.  Each alternative of a union and each member of an enum is in some value.
    """
    if isinstance(type_info, inspect.Metadata):
        return list_examples(type_info.type, default)
    if type(type_info) in SCALAR_EXAMPLES:
        values = SCALAR_EXAMPLES[type(type_info)]
        return [(next(value for value in values if value != default), True)]
    if isinstance(type_info, inspect.EnumType):
        return order_examples((member, member != default) for member in type_info.cls)
    if isinstance(type_info, inspect.LiteralType):
        return order_examples((value, value != default) for value in type_info.values)
    if isinstance(type_info, inspect.NoneType):
        return [(None, False)]
    if isinstance(type_info, inspect.UnionType):
        return order_examples(pair for option in type_info.types for pair in list_examples(option, default))
    if isinstance(type_info, inspect.CollectionType):
        return list_collections(list_examples(type_info.item_type))
    if isinstance(type_info, inspect.TupleType):
        return [(tuple(list_examples(item)[0][0] for item in type_info.item_types), True)]
    if isinstance(type_info, inspect.DictType):
        key = list_examples(type_info.key_type)[0][0]
        return [({key: value}, is_full) for value, is_full in list_examples(type_info.value_type)]
    return list_instances(type_info)


def order_examples(pairs):
    return sorted(pairs, key=lambda pair: not pair[1])


def list_collections(item_examples):
    """Return a collection of all full examples, and one of the others if there are any."""
    groups = [[value for value, is_full in item_examples if is_full == group] for group in (True, False)]
    return [(group, is_full) for group, is_full in zip(groups, (True, False), strict=True) if group]


def list_instances(type_info):
    """Return a full instance, one for each further example of a field, and one with required fields only."""
    examples_by_field = {
        field.name: list_examples(field.type, msgspec.NODEFAULT if field.required else default_of(field))
        for field in type_info.fields
    }
    first = {name: examples[0][0] for name, examples in examples_by_field.items()}
    instances = [(type_info.cls(**first), True)]
    for name, examples in examples_by_field.items():
        instances += [(type_info.cls(**first | {name: value}), is_full) for value, is_full in examples[1:]]
    required = {field.name: first[field.name] for field in type_info.fields if field.required}
    if len(required) < len(first):
        instances.append((type_info.cls(**required), False))
    return instances
