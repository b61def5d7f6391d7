"""Errors of the streams between processes."""


class WireError(Exception):
    """Base of all errors of a stream; `kind` names it for machines."""

    kind = "wire"


class ConnectionClosedError(WireError):
    """The stream has ended, by either side or by the network."""

    kind = "connection-closed"


class FrameTooLargeError(WireError):
    """A frame is longer than its bound."""

    kind = "frame-too-large"


class MalformedFrameError(WireError):
    """A frame is not msgpack, or not a message that this version knows."""

    kind = "malformed-frame"


class ProtocolVersionMismatchError(WireError):
    """The peer speaks another version of the protocol."""

    kind = "protocol-version-mismatch"


class AuthenticationFailedError(WireError):
    """The peer does not hold the shared key."""

    kind = "authentication-failed"
