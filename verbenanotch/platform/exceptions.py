"""Errors in documents that the platform sends."""


class MalformedDocumentError(Exception):
    """A document is malformed; the message describes the problem."""

    kind = "malformed"
