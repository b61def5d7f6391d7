"""Values that messages and stored records can carry.

JSON and TOML can spell numbers and texts that no message can: half of a
surrogate pair, integers beyond 64 bits, and floats that are not finite.
"""

import collections
import math

import attrs

from verbenanotch.documents._document import Document

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
NO_DOCUMENT = Document(text="")


def value_problems(value, *, key="", document=NO_DOCUMENT):
    """Yield a Problem for each value that no message can carry.

    `value` is what JSON or TOML decodes to, or attrs instances and
    collections of it. The problems are at the dotted `key` or below it.
    `document` is the Document that gives their lines.
    """
    # Not recursive, as a document may be nested as deeply as its parser
    # allows.
    pending = collections.deque([(key, value)])
    while pending:
        key, value = pending.popleft()
        problem = _describe_problem(value)
        if problem:
            yield document.problem(key or "(document)", *problem)
        for name, item in _items(value):
            problem = _describe_problem(name)
            if problem:
                yield document.problem(f"{key}.{name!r}", *problem)
            else:
                pending.append((f"{key}.{name}" if key else name, item))


def _describe_problem(value):
    """Return what is wrong with a single value and a remedy, or None."""
    match value:
        case bool():
            return None
        case str() if not _is_encodable(value):
            return (
                "the text cannot be encoded as UTF-8",
                "Remove the unpaired surrogate.",
            )
        case int() if not MIN_INTEGER <= value <= MAX_INTEGER:
            return (
                "the number does not fit into 64 bits",
                f"Use {MIN_INTEGER} to {MAX_INTEGER}.",
            )
        case float() if not math.isfinite(value):
            return "the number is too large", "Use a finite number."
    return None


def _items(value):
    """Yield the name of each value that a collection has, and the value."""
    match value:
        case dict():
            yield from value.items()
        case list() | tuple():
            for number, item in enumerate(value, start=1):
                yield str(number), item
        case _ if attrs.has(type(value)):
            for field in attrs.fields(type(value)):
                yield field.name, getattr(value, field.name)


def _is_encodable(text):
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True
