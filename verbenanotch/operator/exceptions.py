"""Errors of the operator interface, each with its HTTP status."""


class OperatorError(Exception):
    """Base class of all errors; `kind` is the machine-readable name."""

    kind = "operator"
    status = 400

    def __init__(self, text, *, remedy):
        """Store what is wrong and what the operator can do about it."""
        super().__init__(f"{text}. {remedy}")
        self.text = text
        self.remedy = remedy


class UnauthorizedError(OperatorError):
    """The request has no valid token."""

    kind = "unauthorized"
    status = 401


class NotFoundError(OperatorError):
    """The resource does not exist."""

    kind = "not-found"
    status = 404


class MethodNotAllowedError(OperatorError):
    """The resource does not support this method."""

    kind = "method-not-allowed"
    status = 405


class LengthRequiredError(OperatorError):
    """The request does not declare the length of its body."""

    kind = "length-required"
    status = 411


class BodyTooLargeError(OperatorError):
    """The declared body exceeds the size limit; none of it was read."""

    kind = "body-too-large"
    status = 413


class BodyIncompleteError(OperatorError):
    """The connection ended before the declared end of the body."""

    kind = "body-incomplete"


class InvalidRequestError(OperatorError):
    """A value in a header, the query or the body is invalid."""

    kind = "invalid-request"


class NotCurrentError(OperatorError):
    """The host may lack accepted versions; nothing was changed."""

    kind = "not-current"
    status = 503
