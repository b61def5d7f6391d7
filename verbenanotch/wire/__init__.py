"""Authenticated connections that carry msgpack messages."""

from verbenanotch.wire._background import send_in_background
from verbenanotch.wire._backoff import full_jitter
from verbenanotch.wire._codec import (
    decode,
    encode,
    from_plain,
    message,
    to_plain,
)
from verbenanotch.wire._connection import MAX_FRAME_BYTES, Connection
from verbenanotch.wire._handshake import PROTOCOL_VERSION, Purpose
from verbenanotch.wire._listener import Listener, dial, dial_from_host
from verbenanotch.wire.exceptions import (
    AuthenticationFailedError,
    ConnectionClosedError,
    FrameTooLargeError,
    MalformedFrameError,
    NoRoomError,
    ProtocolVersionMismatchError,
    WireError,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "AuthenticationFailedError",
    "Connection",
    "ConnectionClosedError",
    "FrameTooLargeError",
    "Listener",
    "MalformedFrameError",
    "NoRoomError",
    "ProtocolVersionMismatchError",
    "Purpose",
    "WireError",
    "decode",
    "dial",
    "dial_from_host",
    "encode",
    "from_plain",
    "full_jitter",
    "message",
    "send_in_background",
    "to_plain",
]
