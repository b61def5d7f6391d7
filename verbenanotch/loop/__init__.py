"""What the processes need of the loop: sockets, files, greenthreads."""

from verbenanotch.loop._files import JOINED_BYTES, SocketReader, SocketWriter
from verbenanotch.loop._socket import LoopSocket, connect, listen
from verbenanotch.loop._workers import Workers

__all__ = [
    "JOINED_BYTES",
    "LoopSocket",
    "SocketReader",
    "SocketWriter",
    "Workers",
    "connect",
    "listen",
]
