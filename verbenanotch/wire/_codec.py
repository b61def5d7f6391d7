"""Encoding of typed messages as msgpack.

A message is an attrs class with a number. It is sent as a msgpack array of
the timestamp of the sender's hybrid logical clock, the number, and the array
of the field values in the order of their definition.
"""

import attrs
import cattrs
import msgpack

from verbenanotch.telemetry import clock
from verbenanotch.wire.exceptions import MalformedFrameError

# Types that msgpack encodes without a conversion.
PLAIN_TYPES = (str, int, bytes, bool)
ARRAY_TYPES = (list, tuple)
# The type of HTTP headers, the longest field of most messages. It has its own
# structure hook and is sent without an unstructure hook.
HEADER_PAIRS = tuple[tuple[str, str], ...]

_classes_by_number: dict[int, type] = {}
_numbers_by_class: dict[type, int] = {}
_converter = cattrs.Converter(detailed_validation=False)
# Shared by all messages: each Packer allocates a buffer that most messages
# never fill.
_packer = msgpack.Packer()


def _exact_type_hook(expected):
    """Return a structure hook that accepts values of exactly one type.

    For an enumeration that is a subclass of the type, the hook returns the
    member with the value.
    """

    def structure(value, cls):
        if type(value) is not expected:
            raise TypeError(
                f"expected {expected.__name__}, got {type(value).__name__}"
            )
        return value if cls is expected else cls(value)

    return structure


def _attrs_structure(cls):
    """Return a structure hook from an array of field values to `cls`.

    A field of a plain type is checked inline, which is faster than a call of
    its hook. The hook is called only to raise the error of a mismatch.
    """
    attrs.resolve_types(cls)
    hooks = [
        (field.name, field.type, _converter.get_structure_hook(field.type))
        for field in attrs.fields(cls)
    ]
    names = tuple(name for name, _, _ in hooks)
    checks = tuple(
        (index, field_type, None if field_type in PLAIN_TYPES else hook)
        for index, (_, field_type, hook) in enumerate(hooks)
    )
    hooks_by_index = [hook for _, _, hook in hooks]

    def structure(values, _):
        if len(values) != len(checks):
            raise TypeError(f"expected {len(checks)} fields")
        field_values = list(values)
        for index, field_type, hook in checks:
            if hook is not None:
                field_values[index] = hook(field_values[index], field_type)
            elif type(field_values[index]) is not field_type:
                hooks_by_index[index](field_values[index], field_type)
        return cls(**dict(zip(names, field_values, strict=True)))

    return structure


def _attrs_unstructure(cls):
    """Return an unstructure hook from `cls` to a tuple of field values."""
    attrs.resolve_types(cls)
    hooks = [
        (
            field.name,
            None
            if field.type in PLAIN_TYPES or field.type == HEADER_PAIRS
            else _converter.get_unstructure_hook(field.type),
        )
        for field in attrs.fields(cls)
    ]

    def unstructure(instance):
        return tuple(
            [
                getattr(instance, name)
                if hook is None
                else hook(getattr(instance, name))
                for name, hook in hooks
            ]
        )

    return unstructure


def _structure_header_pairs(value, _):
    """Return received header pairs as a tuple of tuples of strings."""
    pairs = tuple([(name, text) for name, text in value])
    for pair, received in zip(pairs, value, strict=True):
        if type(received) not in ARRAY_TYPES:
            raise TypeError(f"expected a pair, got {type(received).__name__}")
        for text in pair:
            if type(text) is not str:
                raise TypeError(f"expected str, got {type(text).__name__}")
    return pairs


_converter.register_structure_hook_factory(attrs.has, _attrs_structure)
_converter.register_unstructure_hook_factory(attrs.has, _attrs_unstructure)
for _plain_type in PLAIN_TYPES:
    _converter.register_structure_hook(
        _plain_type, _exact_type_hook(_plain_type)
    )
_converter.register_structure_hook_func(
    lambda field_type: field_type == HEADER_PAIRS, _structure_header_pairs
)


def message(number):
    """Register an attrs class as the message type `number`.

    Raises ValueError if the number is already used.
    """

    def register(cls):
        if number in _classes_by_number:
            raise ValueError(f"message number {number} is already used")
        _classes_by_number[number] = cls
        _numbers_by_class[cls] = number
        return cls

    return register


def to_plain(value):
    """Return an attrs instance as nested tuples that msgpack can encode."""
    return _converter.unstructure(value)


def from_plain(value, cls):
    """Return an instance of `cls` made of nested field values.

    This is the inverse of `to_plain`. Raises MalformedFrameError if the
    values do not match the fields of `cls`.
    """
    try:
        return _converter.structure(value, cls)
    except Exception as error:
        raise MalformedFrameError(
            f"value does not match {cls.__name__}: {error}; "
            "run the same release on every host"
        ) from error


def encode(instance):
    """Return a message instance as bytes, with the local clock's timestamp."""
    number = _numbers_by_class[type(instance)]
    return _packer.pack((clock.now(), number, to_plain(instance)))


def decode(values):
    """Return the message of an unpacked frame; advance the local clock.

    Raises MalformedFrameError if the frame is not a known message.
    """
    match values:
        case [int(timestamp), int(number), list(fields)]:
            cls = _classes_by_number.get(number)
        case _:
            cls = None
    if cls is None:
        raise MalformedFrameError(
            "frame is not a known message; run the same release on every host"
        )
    instance = from_plain(fields, cls)
    clock.observe(timestamp)
    return instance
