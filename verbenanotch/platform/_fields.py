"""Read and type-check the fields of the platform's JSON documents."""

import json
import reprlib

from verbenanotch.documents import value_problems
from verbenanotch.platform.exceptions import MalformedDocumentError

MAX_LABEL_DIGITS = 15
# A decoded value takes many times the memory of its text.
MAX_JSON_VALUES = 500_000
MILLISECONDS_PER_SECOND = 1000


def load_object(data):
    """Decode the JSON object in `data`.

    Raises MalformedDocumentError.
    """
    if sum(data.count(mark) for mark in (b",", b"[", b"{")) > MAX_JSON_VALUES:
        raise MalformedDocumentError(
            f"more than {MAX_JSON_VALUES} values; send a smaller document"
        )
    try:
        value = json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedDocumentError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise MalformedDocumentError("not a JSON object")
    return value


def load_checked_object(data):
    """Decode a JSON object whose values any message can carry.

    Raises MalformedDocumentError.
    """
    value = load_object(data)
    for problem in value_problems(value):
        raise MalformedDocumentError(str(problem))
    return value


def get_field(values, name, *types, default=None):
    """Return the field `name`, which must be of one of the types.

    Without a default the field is required. A boolean doesn't count as a
    number. Raises MalformedDocumentError.
    """
    value = values.get(name, default)
    if type(value) not in types:
        expected = " or ".join(accepted.__name__ for accepted in types)
        # `repr` fails on values that are nested too deeply.
        raise MalformedDocumentError(
            f"{name} is {reprlib.repr(value)}, not {expected}"
        )
    return value


def get_secret_field(values, name, *types, default=None):
    """Return a field like `get_field`; the error does not quote its value."""
    value = values.get(name, default)
    if type(value) not in types:
        expected = " or ".join(accepted.__name__ for accepted in types)
        raise MalformedDocumentError(
            f"{name} is of type {type(value).__name__}, not {expected}"
        )
    return value


def get_milliseconds(values, name, default=None):
    """Return a field given in seconds as integer milliseconds.

    A `default` is in seconds too. Raises MalformedDocumentError.
    """
    return get_scaled(
        values, name, scale=MILLISECONDS_PER_SECOND, default=default
    )


def get_scaled(values, name, *, scale, default=None):
    """Return a number, multiplied by `scale` and rounded to an integer.

    Raises MalformedDocumentError, also for a number that overflows.
    """
    number = get_field(values, name, int, float, default=default)
    try:
        return round(number * scale)
    except OverflowError as error:
        raise MalformedDocumentError(
            f"{name} is too large; use a smaller number"
        ) from error


def parse_label(text):
    """Return the label of a version: 12 for `r12` or `12`.

    The label 0 means no version. Raises MalformedDocumentError.
    """
    digits = text.removeprefix("r")
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > MAX_LABEL_DIGITS:
        raise MalformedDocumentError(f"{text!r} is not a version such as r12")
    return int(digits)


def _reject_constant(text):
    raise ValueError(f"{text} is not a number")
