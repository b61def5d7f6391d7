"""An HTTP answer to a request without a body, from a WSGI application."""

import email.utils
import http

import attrs

from verbenanotch.daemon._http import KEEP_ALIVE_SECONDS

BODILESS_STATUSES = frozenset((204, 304))


@attrs.define(kw_only=True, eq=False)
class Answer:
    """The answer, complete once the application has returned its body.

    `method` is that of the request; `asks_keep_alive` is whether the caller
    asked for a connection that stays open, as HTTP/1.0 requires.
    `close_result()` is called once the answer has been sent or dropped.
    """

    method: str
    asks_keep_alive: bool
    status: str = ""
    fields: list = attrs.field(factory=list)
    body: bytes = b""
    close_result: object = lambda: None

    def read(self, result):
        """Take the body from the result of the application."""
        self.close_result = getattr(result, "close", self.close_result)
        self.body = b"".join(result)

    def start(self, status, fields, exc_info=None):
        """Set status and headers; the WSGI callable `start_response`."""
        self.status = status
        self.fields = list(fields)

    @property
    def size(self):
        """The bytes that the answer is counted with until it has been sent.

        An empty one counts, too.
        """
        return len(self.body) + 1

    def chunks(self, *, closes):
        """Return the bytes to send; `closes` announces the end."""
        head = self._head(closes)
        return [head] if self.method == "HEAD" else [head, self.body]

    def _head(self, closes):
        lines = [f"HTTP/1.1 {self.status}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        names = {name.lower() for name, _ in self.fields}
        if "date" not in names:
            lines.append(f"Date: {email.utils.formatdate(usegmt=True)}")
        if "content-length" not in names and self._has_body():
            lines.append(f"Content-Length: {len(self.body)}")
        if closes:
            lines.append("Connection: close")
        elif self.asks_keep_alive:
            lines.append("Connection: keep-alive")
            lines.append(f"Keep-Alive: timeout={int(KEEP_ALIVE_SECONDS)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _has_body(self):
        status = int(self.status.split(" ", 1)[0])
        return (
            self.method != "HEAD"
            and status >= http.HTTPStatus.OK
            and status not in BODILESS_STATUSES
        )
