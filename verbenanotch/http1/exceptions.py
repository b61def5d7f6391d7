"""Errors of HTTP messages."""


class HttpError(Exception):
    """Base of all errors of HTTP messages.

    `kind` identifies the error in logs, metrics and reasons.
    """

    kind = "http"


class AnswerIncompleteError(HttpError):
    """A connection ended before the end of an answer."""

    kind = "answer-incomplete"


class AnswerMalformedError(HttpError):
    """An answer can't be read as HTTP/1.1."""

    kind = "answer-malformed"


class AnswerHeadTooLargeError(HttpError):
    """An answer, or what precedes it, has too large a head."""

    kind = "answer-head-too-large"
