"""Notice callers that close their connection while they wait."""

import eventlet

# Work goes on for at most this long after its caller has left, if the caller
# had sent more bytes than its request.
SWEEP_SECONDS = 0.15


class DisconnectMonitor:
    """Learn from the loop that a caller's connection has ended.

    Bytes that wait unread hide the end of the connection behind them. Such
    sockets are looked at now and then.
    """

    def __init__(self):
        """Watch nobody yet."""
        self._cancellations_by_socket = {}
        self._sockets_with_bytes = set()
        self._sweeper = None

    def start(self):
        """Look in the background."""
        self._sweeper = eventlet.spawn(self._sweep_forever)

    def stop(self):
        """Look no more."""
        if self._sweeper is not None:
            self._sweeper.kill()

    def watch(self, cancellation, sock):
        """Cancel when the other end of the LoopSocket `sock` is closed."""
        self._cancellations_by_socket[sock] = cancellation
        sock.on_unread = self._on_unread
        sock.register()

    def forget(self, sock):
        """End the watch of a socket."""
        sock.on_unread = None
        del self._cancellations_by_socket[sock]
        self._sockets_with_bytes.discard(sock)

    def sweep(self):
        """Look at every socket with unread bytes once."""
        for sock in list(self._sockets_with_bytes):
            self._check(sock)

    def _on_unread(self, sock):
        # The loop itself must not run what a cancellation does.
        eventlet.spawn_n(self._check, sock)

    def _check(self, sock):
        cancellation = self._cancellations_by_socket.get(sock)
        if cancellation is None:
            return
        if sock.peek() == b"":
            self._sockets_with_bytes.discard(sock)
            cancellation.cancel()
        else:
            self._sockets_with_bytes.add(sock)

    def _sweep_forever(self):
        while True:
            eventlet.sleep(SWEEP_SECONDS)
            self.sweep()
