"""Errors of the request path."""


class ProxyError(Exception):
    """Base of all errors of the request path.

    `kind` identifies the error in logs, metrics and reasons.
    """

    kind = "proxy"


class BodyOverrunError(ProxyError):
    """A peer sent more bytes of a body than it had declared."""

    kind = "body-overrun"


class StreamReusedError(ProxyError):
    """A peer used the same stream id twice."""

    kind = "stream-reused"


class AnswerForeignError(ProxyError):
    """A target's response belongs to another request."""

    kind = "answer-foreign"


class AnswerTooLargeError(ProxyError):
    """A target's response exceeds the size limit for bodies."""

    kind = "answer-too-large"


class AnswerUnboundedError(ProxyError):
    """A target's response has neither a length nor chunked encoding."""

    kind = "answer-without-length"
