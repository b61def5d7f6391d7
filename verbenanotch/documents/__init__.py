"""TOML documents parsed into attrs classes, with all problems reported."""

from verbenanotch.documents._document import (
    Document,
    Invalid,
    Problem,
    Valid,
    parse,
)

__all__ = ["Document", "Invalid", "Problem", "Valid", "parse"]
