"""Encoding of typed messages as msgpack.

A message is an attrs class with a number. It travels as a msgpack array:
timestamp of the sender's hybrid logical clock, number, then the field values
in the order of their definition.
"""

import attrs
import cattrs
import msgpack

from verbenanotch.telemetry import clock
from verbenanotch.wire.exceptions import MalformedFrameError

_classes_by_number: dict[int, type] = {}
_numbers_by_class: dict[type, int] = {}
_converter = cattrs.Converter(detailed_validation=False)


def _exact(kind):
    """Return a structure hook that accepts values of just one type.

    The hook also serves enumerations that are subclasses of the type.
    """

    def structure(value, cls):
        if type(value) is not kind:
            raise TypeError(
                f"expected {kind.__name__}, got {type(value).__name__}"
            )
        return value if cls is kind else cls(value)

    return structure


def _attrs_structure(cls):
    """Return a structure hook from an array of field values to `cls`."""
    attrs.resolve_types(cls)
    hooks = [
        (field.name, field.type, _converter.get_structure_hook(field.type))
        for field in attrs.fields(cls)
    ]

    def structure(values, _):
        if len(values) != len(hooks):
            raise TypeError(f"expected {len(hooks)} fields")
        fields = {
            name: hook(value, kind)
            for (name, kind, hook), value in zip(hooks, values, strict=True)
        }
        return cls(**fields)

    return structure


def _attrs_unstructure(cls):
    """Return an unstructure hook from `cls` to a tuple of field values."""
    attrs.resolve_types(cls)
    hooks = [
        (field.name, _converter.get_unstructure_hook(field.type))
        for field in attrs.fields(cls)
    ]

    def unstructure(item):
        return tuple(hook(getattr(item, name)) for name, hook in hooks)

    return unstructure


_converter.register_structure_hook_factory(attrs.has, _attrs_structure)
_converter.register_unstructure_hook_factory(attrs.has, _attrs_unstructure)
for _kind in (str, int, bytes, bool):
    _converter.register_structure_hook(_kind, _exact(_kind))


def message(number):
    """Register an attrs class as the message type `number`.

    Raises ValueError if the number is taken.
    """

    def register(cls):
        if number in _classes_by_number:
            raise ValueError(f"message number {number} is taken")
        _classes_by_number[number] = cls
        _numbers_by_class[cls] = number
        return cls

    return register


def to_plain(value):
    """Return an attrs value as nested tuples and plain values."""
    return _converter.unstructure(value)


def from_plain(value, cls):
    """Return nested plain values as `cls`; the inverse of `to_plain`.

    Raises MalformedFrameError if they do not fit.
    """
    try:
        return _converter.structure(value, cls)
    except Exception as error:
        raise MalformedFrameError(
            f"value does not fit {cls.__name__}: {error}; "
            "run the same release on every host"
        ) from error


def encode(item):
    """Return the bytes of one message, with the local clock's time."""
    number = _numbers_by_class[type(item)]
    return msgpack.packb((clock.now(), number, to_plain(item)))


def decode(values):
    """Return the message of one unpacked frame; advance the local clock.

    Raises MalformedFrameError if the frame is of no known form.
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
    item = from_plain(fields, cls)
    clock.observe(timestamp)
    return item
