"""TOML documents parsed into attrs classes, with all problems reported."""

from verbenanotch.documents._document import (
    Document,
    Invalid,
    Problem,
    Valid,
    parse,
)
from verbenanotch.documents._values import MAX_INTEGER, value_problems

__all__ = [
    "MAX_INTEGER",
    "Document",
    "Invalid",
    "Problem",
    "Valid",
    "parse",
    "value_problems",
]
