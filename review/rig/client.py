"""A stand-in for the clients of one machine."""

import threading
import time

from mesh import CannotRunError, call

FIRST_ANSWER_SECONDS = 20.0


class Client:
    """Send requests that are not idempotent, each on a new connection.

    `answers` has the status of each request by its id, None without an
    answer.
    """

    def __init__(self, *, mesh, proxy, host, prefix, budget_seconds, record):
        """Send to the `Outbound` address of a proxy's machine."""
        self._mesh = mesh
        self._proxy = proxy
        self._host = host
        self._prefix = prefix
        self._budget_seconds = budget_seconds
        self._record = record
        self._count = 0
        self.answers = {}

    def start(self, request_id=None):
        """Send a request in the background; return its thread."""
        if request_id is None:
            self._count += 1
            request_id = f"request-{self._count}"
        thread = threading.Thread(target=self.send, args=(request_id,))
        thread.start()
        return thread

    def wait_until_served(self, name):
        """Send requests one after the other until one is served."""
        end = time.monotonic() + FIRST_ANSWER_SECONDS
        number = 0
        while self.send(f"{name}-{number}") != 200:
            if time.monotonic() > end:
                raise CannotRunError("no request is served")
            number += 1
            time.sleep(0.1)

    def send(self, request_id):
        """Send one request; return its status, None without an answer."""
        self._record.write("client", f"sends {request_id}")
        budget_ms = int(self._budget_seconds * 1000)
        try:
            status, _, body = call(
                self._proxy.address,
                self._mesh.outbound_port,
                "POST",
                f"{self._prefix}{request_id}",
                headers=[
                    ("Host", self._host),
                    ("Verbenanotch-Request-Id", request_id),
                    ("Verbenanotch-Deadline-Ms", str(budget_ms)),
                ],
                body=b"x" * 100,
                seconds=self._budget_seconds + 1,
            )
            text = f"{status} {body[:90]!r}"
        except OSError as error:
            status, text = None, repr(error)
        self.answers[request_id] = status
        self._record.write("client", f"{request_id}: {text}")
        return status
