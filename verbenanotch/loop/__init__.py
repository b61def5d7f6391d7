"""Sockets, file objects and reusable greenthreads on the eventlet hub."""

from verbenanotch.loop._files import (
    MAX_JOINED_BYTES,
    SocketReader,
    SocketWriter,
)
from verbenanotch.loop._socket import LoopSocket, connect, listen
from verbenanotch.loop._workers import Workers

__all__ = [
    "MAX_JOINED_BYTES",
    "LoopSocket",
    "SocketReader",
    "SocketWriter",
    "Workers",
    "connect",
    "listen",
]
