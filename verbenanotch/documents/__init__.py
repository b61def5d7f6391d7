"""TOML documents checked against attrs classes, all problems at once."""

from verbenanotch.documents._document import (
    Document,
    Invalid,
    Problem,
    Valid,
    parse,
)

__all__ = ["Document", "Invalid", "Problem", "Valid", "parse"]
