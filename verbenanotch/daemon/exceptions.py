"""Errors of the daemon's life."""


class StartError(Exception):
    """A part of the role cannot start; the message names the remedy."""

    kind = "start"

    def __init__(self, *, kind, text):
        """Take the kind and the message of the part's own error."""
        super().__init__(text)
        self.kind = kind
