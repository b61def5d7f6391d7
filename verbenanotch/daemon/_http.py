"""Serve a WSGI application on the loop."""

import eventlet
from eventlet import wsgi

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 4096


class HttpServer:
    """Serve one WSGI application on one address."""

    def __init__(self, *, address, port, application):
        """Bind the address."""
        self._socket = eventlet.listen((address, port), backlog=LISTEN_BACKLOG)
        self._application = application
        self._greenthread = None

    def start(self):
        """Serve in the background."""
        self._greenthread = eventlet.spawn(
            wsgi.server,
            self._socket,
            self._application,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            debug=False,
        )

    def stop(self):
        """Accept no more connections."""
        self._greenthread.kill()
        self._socket.close()
