"""Errors of HTTP messages."""


class HttpError(Exception):
    """Base of all errors of HTTP messages.

    `kind` identifies the error in logs, metrics and reasons.
    """

    kind = "http"


class MessageIncompleteError(HttpError):
    """A connection ended before the end of a message."""

    kind = "message-incomplete"


class MessageMalformedError(HttpError):
    """A message can't be read as HTTP/1.1."""

    kind = "message-malformed"


class RequestRefusedError(HttpError):
    """The head of a request can't be read, or is not supported.

    `status` is that of the answer, `kind` the reason in it.
    """

    def __init__(self, *, status, kind, text):
        """Store the status and the reason; `text` is the message."""
        super().__init__(text)
        self.status = status
        self.kind = kind


class AnswerIncompleteError(HttpError):
    """A connection ended before the end of an answer."""

    kind = "answer-incomplete"


class AnswerMalformedError(HttpError):
    """An answer can't be read as HTTP/1.1."""

    kind = "answer-malformed"


class AnswerHeadTooLargeError(HttpError):
    """An answer, or what precedes it, has too large a head."""

    kind = "answer-head-too-large"
