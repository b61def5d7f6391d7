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
    """A target answered a different request than the one sent."""

    kind = "answer-foreign"


class RefusalUnidentifiedError(ProxyError):
    """A refusal does not tell which request it refuses."""

    kind = "refusal-unidentified"


class AnswerTooLargeError(ProxyError):
    """A target's answer exceeds the size limit for bodies."""

    kind = "answer-too-large"


class AnswersTooLargeError(ProxyError):
    """There is no room for an answer beside the other bodies."""

    kind = "answers-too-large"


class BodiesFullError(ProxyError):
    """There is no room for the body of a request beside the other bodies."""

    kind = "bodies-full"


class BodyGivenUpError(ProxyError):
    """An unfinished body made no progress, and others needed its room."""

    kind = "body-given-up"


class AnswerUnboundedError(ProxyError):
    """An answer ends with its connection alone, which does not suffice."""

    kind = "answer-without-length"
