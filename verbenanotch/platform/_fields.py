"""Read the fields of the platform's JSON documents, each of one type."""

import json

from verbenanotch.platform.exceptions import MalformedDocumentError

MAX_LABEL_DIGITS = 15


def load_object(data):
    """Return the JSON object of some bytes.

    Raises MalformedDocumentError.
    """
    try:
        value = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedDocumentError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise MalformedDocumentError("not a JSON object")
    return value


def field(values, name, *kinds, default=None):
    """Return a field of one of these types; required without a default.

    Raises MalformedDocumentError. A boolean is never taken for a number.
    """
    value = values.get(name, default)
    if type(value) not in kinds:
        wanted = " or ".join(kind.__name__ for kind in kinds)
        raise MalformedDocumentError(f"{name} is {value!r}, not {wanted}")
    return value


def seconds_field(values, name, default=None):
    """Return a field in seconds as whole milliseconds."""
    return round(field(values, name, int, float, default=default) * 1000)


def label_of(text):
    """Return the number of a version such as `r12`; `0` is none yet.

    Raises MalformedDocumentError.
    """
    digits = text.removeprefix("r")
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > MAX_LABEL_DIGITS:
        raise MalformedDocumentError(f"{text!r} is not a version such as r12")
    return int(digits)


def _refuse_constant(text):
    raise ValueError(f"{text} is not a number")
