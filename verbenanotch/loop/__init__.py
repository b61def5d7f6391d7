"""Sockets, file objects, greenthreads and turns of the eventlet hub."""

from verbenanotch.loop._failures import report_failure
from verbenanotch.loop._files import (
    MAX_JOINED_BYTES,
    SocketReader,
    SocketWriter,
    buffered_input,
    has_input,
)
from verbenanotch.loop._lasting import spawn_lasting
from verbenanotch.loop._socket import LoopSocket, connect, listen
from verbenanotch.loop._turn_queue import TurnQueue
from verbenanotch.loop._turns import (
    bound_turns,
    is_part_over,
    spawn_first,
    take_longest_parts,
)
from verbenanotch.loop._workers import Workers

__all__ = [
    "MAX_JOINED_BYTES",
    "LoopSocket",
    "SocketReader",
    "SocketWriter",
    "TurnQueue",
    "Workers",
    "bound_turns",
    "buffered_input",
    "connect",
    "has_input",
    "is_part_over",
    "listen",
    "report_failure",
    "spawn_first",
    "spawn_lasting",
    "take_longest_parts",
]
