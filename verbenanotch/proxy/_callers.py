"""Notice callers that close their connection while they wait."""

import socket

import eventlet

# Work goes on for so long at most after its caller has left; each look costs
# a system call for every request in flight.
SWEEP_SECONDS = 0.15


class CallerWatch:
    """Look now and then at the sockets of the requests in flight.

    A short request is never looked at, so that it costs nothing.
    """

    def __init__(self):
        """Watch nobody yet."""
        self._sockets_by_cancellation = {}
        self._sweeper = None

    def start(self):
        """Look in the background."""
        self._sweeper = eventlet.spawn(self._sweep_forever)

    def stop(self):
        """Look no more."""
        if self._sweeper is not None:
            self._sweeper.kill()

    def watch(self, cancellation, sock):
        """Cancel when the other end of `sock` is closed."""
        self._sockets_by_cancellation[cancellation] = sock

    def forget(self, cancellation):
        """End a watch."""
        self._sockets_by_cancellation.pop(cancellation, None)

    def sweep(self):
        """Look at every socket once."""
        for cancellation, sock in list(self._sockets_by_cancellation.items()):
            if _is_closed(sock):
                self.forget(cancellation)
                cancellation.cancel()

    def _sweep_forever(self):
        while True:
            eventlet.sleep(SWEEP_SECONDS)
            self.sweep()


def _is_closed(sock):
    descriptor = getattr(sock, "fd", sock)
    try:
        data = descriptor.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
    return not data
