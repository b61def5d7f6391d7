"""The header fields of a message."""

import re

# RFC 9112, section 5.
FIELD_PATTERN = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r?\n"
)


def is_field_line(line):
    """Return whether a line, with its end, is a well-formed header field."""
    return FIELD_PATTERN.fullmatch(line) is not None


class HeaderFields:
    """Header fields in their order, looked up by name without case."""

    def __init__(self, *, pairs):
        """Keep pairs of name and value."""
        self._pairs = pairs
        self._first_values_by_name = {
            name.lower(): value for name, value in reversed(pairs)
        }

    def __contains__(self, name):
        """Return whether there is a field of this name."""
        return name.lower() in self._first_values_by_name

    def get(self, name, default=None):
        """Return the first value of a field, or `default`."""
        return self._first_values_by_name.get(name.lower(), default)

    def get_all(self, name, default=None):
        """Return all values of a field in their order, or `default`."""
        name = name.lower()
        if name not in self._first_values_by_name:
            return default
        return [value for key, value in self._pairs if key.lower() == name]

    def tokens(self, name):
        """Return the lower-case items that all fields of a name list."""
        return [
            token.strip().lower()
            for value in self.get_all(name, ())
            for token in value.split(",")
        ]

    def items(self):
        """Return all pairs of name and value."""
        return self._pairs


class FieldCollector:
    """Callbacks of httptools that collect the fields of one head."""

    def __init__(self):
        """Collect nothing yet."""
        self.pairs = []
        self.is_complete = False

    def on_header(self, name, value):
        """Add one field."""
        self.pairs.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Note the end of the head."""
        self.is_complete = True
