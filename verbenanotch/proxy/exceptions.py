"""Errors of the request path."""


class ProxyError(Exception):
    """Base of all errors of the request path; `kind` names it."""

    kind = "proxy"


class BodyOverrunError(ProxyError):
    """A peer sent more bytes of a body than it declared."""

    kind = "body-overrun"


class StreamReusedError(ProxyError):
    """A peer used the id of a stream twice."""

    kind = "stream-reused"


class AnswerForeignError(ProxyError):
    """A target answered another request than the one in flight."""

    kind = "answer-foreign"


class AnswerTooLargeError(ProxyError):
    """A target's answer is over the bound for bodies."""

    kind = "answer-too-large"


class AnswerUnboundedError(ProxyError):
    """A target's answer has neither a declared length nor an end mark."""

    kind = "answer-without-length"
