"""A target that ends its connections early, with part of the request read."""

import socket

import attrs
import eventlet

from tests.support.leaving_callers import RESET_ON_CLOSE
from tests.support.raw_target import RawTarget

# Less than the bodies of requests, so that most of them stay at the sender.
RECEIVE_BUFFER_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"


@attrs.frozen(kw_only=True)
class Ending:
    """How a connection ends after its answer.

    The target ends its own side first if `ends_side`, reads the rest of the
    request if `reads_rest`, waits for `pause_seconds`, and resets the
    connection if `resets`. Without that it closes it, which is a reset too if
    bytes were left unread.
    """

    ends_side: bool = False
    reads_rest: bool = False
    resets: bool = False
    pause_seconds: float = 0.0

    def play(self, sock):
        """End a connection."""
        if self.ends_side:
            sock.shutdown(socket.SHUT_WR)
        eventlet.sleep(self.pause_seconds)
        while self.reads_rest and sock.recv(READ_BYTES):
            pass
        if self.resets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        sock.close()


RESET_AFTER_A_PART = Ending(resets=True, pause_seconds=0.05)
ENDINGS_BY_NAME = {
    "reset": RESET_AFTER_A_PART,
    "unread": Ending(pause_seconds=0.05),
    "side-and-reset": Ending(ends_side=True, resets=True, pause_seconds=0.2),
    "late-reset": Ending(resets=True, pause_seconds=0.4),
}


class BreakingTarget(RawTarget):
    """A RawTarget that answers once it has read the head of a request.

    The rest of a request is read only if another answer follows on its
    connection.
    """

    def __init__(self, answers, *, ending):
        """Send `answers` on each connection, then end it by an Ending."""
        super().__init__(answers)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._ending = ending

    def _serve(self, sock):
        for answer in self.answers:
            data = b""
            while HEAD_END not in data:
                received = sock.recv(READ_BYTES)
                if not received:
                    sock.close()
                    return
                data += received
            sock.sendall(answer)
        self._ending.play(sock)
