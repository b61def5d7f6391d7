"""HTTP endpoint that reports whether callers are served."""

READY_PATH = "/readyz"


class ReadinessInterface:
    """WSGI application for the load balancers that route callers here."""

    def __init__(self, *, is_ready):
        """Call `is_ready()` for each request."""
        self._is_ready = is_ready

    def application(self, environ, start_response):
        """Respond with status 200 while callers are served, else with 503."""
        if environ["PATH_INFO"] != READY_PATH:
            status = "404 Not Found"
        elif self._is_ready():
            status = "200 OK"
        else:
            status = "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]
