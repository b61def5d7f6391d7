"""Errors of the connections between processes."""


class WireError(Exception):
    """Base class of connection errors; `kind` is a machine-readable name."""

    kind = "wire"


class ConnectionClosedError(WireError):
    """The connection was closed by either side or broken by the network."""

    kind = "connection-closed"


class NoRoomError(WireError):
    """A message found no room in the queues until its deadline.

    Nothing of it was sent, and the connection stays open.
    """

    kind = "no-room"


class FrameTooLargeError(WireError):
    """A frame exceeds the size limit."""

    kind = "frame-too-large"


class MalformedFrameError(WireError):
    """A frame is not msgpack, or not a message known to this release."""

    kind = "malformed-frame"


class ProtocolVersionMismatchError(WireError):
    """The peer uses another version of the protocol."""

    kind = "protocol-version-mismatch"


class AuthenticationFailedError(WireError):
    """The peer does not have the shared key."""

    kind = "authentication-failed"
