"""Detect callers that close their connection while they wait."""

import eventlet

# The loop can't see the end of a stream behind unread bytes. If a caller sent
# more bytes than its request, the request is cancelled at most this long after
# the caller has closed the connection.
SWEEP_INTERVAL_SECONDS = 0.15


class DisconnectMonitor:
    """Cancel the requests of callers whose connection has ended.

    The event loop reports the end of a connection unless unread bytes precede
    it. Sockets with unread bytes are therefore checked periodically.
    """

    def __init__(self):
        """Start without watched sockets."""
        self._cancellations_by_socket = {}
        self._sockets_with_bytes = set()
        self._sweeper = None

    def start(self):
        """Start the periodic check in the background."""
        self._sweeper = eventlet.spawn(self._sweep_forever)

    def stop(self):
        """Stop the periodic check."""
        if self._sweeper is not None:
            self._sweeper.kill()

    def watch(self, cancellation, sock):
        """Call `cancellation.cancel()` once the peer closes `sock`.

        `sock` is a LoopSocket.
        """
        self._cancellations_by_socket[sock] = cancellation
        sock.on_unread = self._on_unread
        sock.register()

    def unwatch(self, sock):
        """Stop watching a socket."""
        sock.on_unread = None
        del self._cancellations_by_socket[sock]
        self._sockets_with_bytes.discard(sock)

    def sweep(self):
        """Check every socket with unread bytes once."""
        for sock in list(self._sockets_with_bytes):
            self._check(sock)

    def _on_unread(self, sock):
        # The action of a cancellation must not run in the event loop itself,
        # which must never block.
        eventlet.spawn_n(self._check, sock)

    def _check(self, sock):
        cancellation = self._cancellations_by_socket.get(sock)
        if cancellation is None:
            return
        # An empty result means that the connection has ended.
        if sock.peek() == b"":
            self._sockets_with_bytes.discard(sock)
            cancellation.cancel()
        else:
            self._sockets_with_bytes.add(sock)

    def _sweep_forever(self):
        while True:
            eventlet.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()
