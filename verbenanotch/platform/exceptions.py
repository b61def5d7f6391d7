"""Errors in what the platform sends."""


class MalformedDocumentError(Exception):
    """A document cannot be read; the message says what is wrong with it."""

    kind = "malformed"
