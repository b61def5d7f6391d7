"""A target that sends given bytes, whether they are an answer or not."""

import socket

import eventlet

from verbenanotch.proxy._target_connection import TargetConnections

# A `struct linger` that is on, with 0 seconds.
LINGER_ZERO_SECONDS = b"\x01\0\0\0\0\0\0\0"


class RawTarget:
    """A server that answers requests with given bytes."""

    def __init__(self, answers, *, ending=b""):
        """Listen on a free port.

        None in `answers` closes the connection without an answer. After an
        answer that contains `reset` or `close`, or with one of these as the
        `ending` of each answer, the connection is reset or closed.
        """
        self.answers = list(answers)
        self._ending = ending
        self.requests = []
        self.accepted = 0
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.connections = TargetConnections(
            address="127.0.0.1",
            port=self._socket.getsockname()[1],
            max_idle=4,
        )
        self._greenthread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._socket.accept()
            self.accepted += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        while True:
            data = sock.recv(65536)
            if not data:
                return
            self.requests.append(data)
            answer = self.answers.pop(0)
            if answer is None:
                sock.close()
                return
            sock.sendall(answer)
            if b"reset" in answer + self._ending:
                # With a linger time of 0 seconds, close sends a reset.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO_SECONDS
                )
                sock.close()
                return
            if b"close" in answer + self._ending:
                sock.shutdown(socket.SHUT_RDWR)
                return

    def stop(self):
        """Stop listening."""
        self._greenthread.kill()
        self._socket.close()
