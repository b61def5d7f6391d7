"""Detect callers that close their connection while they wait."""

import eventlet

from verbenanotch import loop

# How often sockets whose buffer for unread bytes is full are checked: the loop
# can't report the end of a stream behind unread bytes.
SWEEP_INTERVAL_SECONDS = 0.15


class DisconnectMonitor:
    """Cancel the requests of callers whose connection has ended.

    Used while nobody reads from a connection. Bytes that arrive meanwhile are
    read ahead, as the loop reports the end of a stream only behind them.
    """

    def __init__(self):
        """Start without watched sockets."""
        self._cancellations_by_socket = {}
        self._full_sockets = set()
        self._sweeper = None

    def start(self):
        """Start the periodic check in the background."""
        self._sweeper = loop.spawn_lasting(self._sweep_forever)

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
        self._full_sockets.discard(sock)

    def sweep(self):
        """Check every socket with a full buffer once."""
        for sock in list(self._full_sockets):
            self._check(sock)

    def _on_unread(self, sock):
        # The action of a cancellation must not run in the event loop itself,
        # which must never block, and must not wait for a backlog of work.
        loop.spawn_first(self._check, sock)

    def _check(self, sock):
        cancellation = self._cancellations_by_socket.get(sock)
        if cancellation is None:
            return
        if sock.read_ahead() or (sock.is_ahead_full and sock.has_ended()):
            self._full_sockets.discard(sock)
            cancellation.cancel()
        elif sock.is_ahead_full:
            self._full_sockets.add(sock)
        else:
            self._full_sockets.discard(sock)
            sock.register()

    def _sweep_forever(self):
        while True:
            eventlet.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()
