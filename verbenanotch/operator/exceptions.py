"""Errors of the operators' interface, each with its HTTP status."""


class OperatorError(Exception):
    """Base of all refusals; `kind` names the error for machines."""

    kind = "operator"
    status = 400

    def __init__(self, text, *, remedy):
        """Take what is wrong and what the operator can do about it."""
        super().__init__(f"{text}. {remedy}")
        self.text = text
        self.remedy = remedy


class UnauthorizedError(OperatorError):
    """The request has no valid token."""

    kind = "unauthorized"
    status = 401


class NotFoundError(OperatorError):
    """There is no such resource."""

    kind = "not-found"
    status = 404


class MethodNotAllowedError(OperatorError):
    """The resource exists but not for this method."""

    kind = "method-not-allowed"
    status = 405


class LengthRequiredError(OperatorError):
    """The request does not declare the length of its body."""

    kind = "length-required"
    status = 411


class BodyTooLargeError(OperatorError):
    """The declared body is over the bound; nothing of it was read."""

    kind = "body-too-large"
    status = 413


class BodyIncompleteError(OperatorError):
    """The connection ended before the declared end of the body."""

    kind = "body-incomplete"


class InvalidRequestError(OperatorError):
    """A header, query or body value cannot be used."""

    kind = "invalid-request"


class NotCurrentError(OperatorError):
    """The host may lack versions that were accepted; nothing was changed."""

    kind = "not-current"
    status = 503
