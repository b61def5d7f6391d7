"""The HTTP interface that tells whether callers are served."""

READY_PATH = "/readyz"


class ReadinessInterface:
    """WSGI application for whoever sends callers to this host."""

    def __init__(self, *, is_ready):
        """Ask `is_ready` at each request."""
        self._is_ready = is_ready

    def application(self, environ, start_response):
        """Answer 200 while callers are served, else 503."""
        if environ["PATH_INFO"] != READY_PATH:
            status = "404 Not Found"
        elif self._is_ready():
            status = "200 OK"
        else:
            status = "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]
