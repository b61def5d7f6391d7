"""Responses to callers' requests that are not valid HTTP."""

import json
import uuid

from verbenanotch.daemon._http import HttpProtocol

MALFORMED_REQUEST_REMEDY = "Send a well-formed HTTP/1.1 request."


class CallerProtocol(HttpProtocol):
    """Refuse malformed requests in the JSON format of all other refusals."""

    def parse_request(self):
        """Parse the request line and headers; return False if refused."""
        if not super().parse_request():
            return False
        lengths = self.headers.get_all("Content-Length", [])
        if len(set(lengths)) > 1 or not all(map(_is_valid_length, lengths)):
            self.send_error(400, "bad-length")
            return False
        if lengths and self.headers.get("Transfer-Encoding"):
            self.send_error(400, "bad-length")
            return False
        return True

    def send_error(self, code, message=None, explain=None):
        """Answer a request that cannot be parsed; close the connection.

        `message` is the reason in the answer; the default is `bad-request`.
        """
        self.close_connection = True
        request_id = uuid.uuid4().hex
        body = json.dumps(
            {
                "outcome": "not-run",
                "reason": message or "bad-request",
                "remedy": MALFORMED_REQUEST_REMEDY,
                "request_id": request_id,
            }
        ).encode()
        head = (
            f"HTTP/1.1 {int(code)} Bad Request\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "X-Verbenanotch-Outcome: not-run\r\n"
            f"X-Request-Id: {request_id}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + body)
        self.wfile.flush()


def _is_valid_length(text):
    return text.isascii() and text.isdigit()
