"""Parse a TOML document into an attrs class and collect its problems."""

import dataclasses
import functools
import re
from typing import Any

import attrs
import cattrs
import rtoml
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
TABLE_HEADER_PATTERN = re.compile(r"\s*\[\[?([^\]]+)\]\]?")
KEY_VALUE_PATTERN = re.compile(r"\s*([A-Za-z0-9_.\"'-]+)\s*=")


@attrs.frozen(kw_only=True)
class Problem:
    """One problem of a document, at the dotted `key`.

    `line` counts from 1 and is 0 if it is unknown.
    """

    key: str
    line: int
    text: str
    remedy: str

    def __str__(self):
        """Return the problem on one line."""
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.key}: {self.text}. {self.remedy}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Valid:
    """The document is valid; `value` is the attrs instance."""

    value: Any
    document: "Document"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Invalid:
    """The document is invalid; `problems` has every problem found."""

    problems: tuple[Problem, ...]


@attrs.frozen(kw_only=True)
class Document:
    """Text of a TOML document, and the line of each of its keys."""

    text: str

    def problem(self, key, text, remedy):
        """Return a Problem at the line of the dotted `key`."""
        return Problem(
            key=key, line=self.line_of(key), text=text, remedy=remedy
        )

    def line_of(self, key):
        """Return the number of the line that sets the dotted key.

        Lines count from 1. If no line sets the key, return the line of its
        nearest enclosing table that has one, or 0 if there is none.
        """
        parts = tuple(key.split("."))
        for length in range(len(parts), 0, -1):
            line = self._lines_by_key.get(parts[:length])
            if line is not None:
                return line
        return 0

    @functools.cached_property
    def _lines_by_key(self):
        """Map each key to its first line; computed once for all problems."""
        lines_by_key = {}
        table = ()
        for number, line in enumerate(self.text.splitlines(), start=1):
            header = TABLE_HEADER_PATTERN.match(line)
            if header:
                table = _split_key(header.group(1))
                lines_by_key.setdefault(table, number)
                continue
            key_value = KEY_VALUE_PATTERN.match(line)
            if key_value:
                key = table + _split_key(key_value.group(1))
                lines_by_key.setdefault(key, number)
        return lines_by_key


def _split_key(text):
    return tuple(part.strip().strip("\"'") for part in text.split("."))


def parse(data, cls):
    """Return Valid with an instance of `cls`, or Invalid with all problems.

    `data` is the document's bytes. Unknown keys are problems.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _invalid(
            f"the document has {len(data)} bytes",
            f"Keep it within {MAX_DOCUMENT_BYTES} bytes.",
        )
    try:
        document = Document(text=data.decode("utf-8"))
    except UnicodeDecodeError as error:
        return _invalid(
            f"byte {error.start} is not UTF-8", "Save the file as UTF-8."
        )
    try:
        values = rtoml.loads(document.text)
    except rtoml.TomlParsingError as error:
        return _invalid(f"not TOML: {error}", "Correct the syntax.")
    return _structure(values, cls, document)


def _invalid(text, remedy):
    problem = Problem(key="(document)", line=0, text=text, remedy=remedy)
    return Invalid(problems=(problem,))


def _structure(values, cls, document):
    try:
        value = _converter.structure(values, cls)
    except cattrs.BaseValidationError as error:
        messages = cattrs.transform_error(
            error, format_exception=_describe_error
        )
        return Invalid(
            problems=tuple(
                _problem_from_message(message, document)
                for message in messages
            )
        )
    return Valid(value=value, document=document)


def _problem_from_message(message, document):
    """Return the Problem of a cattrs message, which is `text @ path`."""
    text, _, path = message.rpartition(" @ ")
    key = path.removeprefix("$").removeprefix(".")
    key = re.sub(r"\['([^']*)'\]", r".\1", key).lstrip(".")
    return document.problem(
        key or "(document)", text, "See the settings reference."
    )


def _describe_error(error, expected):
    match error:
        case ForbiddenExtraKeysError():
            names = ", ".join(sorted(error.extra_fields))
            return f"unknown key {names}"
        case KeyError():
            return f"required key {error.args[0]} is missing"
        case _:
            return str(error) or f"expected {expected}"


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for expected in (str, int, bool):
        converter.register_structure_hook(expected, _exact_type_hook(expected))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_func(
        lambda expected: expected == tuple[str, ...], _structure_texts
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True
        ),
    )
    return converter


def _exact_type_hook(expected):
    def structure(value, _):
        if type(value) is not expected:
            raise ValueError(f"expected {expected.__name__}, got {value!r}")
        return value

    return structure


def _structure_texts(value, _):
    """Return a list of texts as a tuple.

    The error does not quote the value, which may be a list of secrets.
    """
    if type(value) is not list:
        raise ValueError(f"expected a list, got {type(value).__name__}")
    for item in value:
        if type(item) is not str:
            raise ValueError(
                f"expected a list of str, got one of {type(item).__name__}"
            )
    return tuple(value)


def _structure_number(value, _):
    if type(value) not in (int, float):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)


_converter = _make_converter()
