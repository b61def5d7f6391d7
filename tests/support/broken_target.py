"""A target that sends broken answers, while others are whole."""

import contextlib
import json
import socket

import attrs

from tests.support.breaking_target import (
    ENDINGS_BY_NAME,
    RECEIVE_BUFFER_BYTES,
    RESET_AFTER_A_PART,
)
from tests.support.rude_target import PLAIN, RudeTarget

# The id in the bodies of broken answers, which no caller may get.
BROKEN_ID = "broken"
BROKEN_BODY = json.dumps({"request_id": BROKEN_ID}).encode()
LENGTH = b"Content-Length: %d\r\n" % len(BROKEN_BODY)
CHUNK = b"%x\r\n%s\r\n0\r\n" % (len(BROKEN_BODY), BROKEN_BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK = b"200 OK"
# Status, fields besides the request's id, and body by manner.
ANSWERS_BY_MANNER = {
    "part": (OK, b"", BROKEN_BODY),
    "status-000": (b"000 None", LENGTH, BROKEN_BODY),
    "status-099": (b"099 None", b"", b""),
    "name-with-blank": (OK, b"Bad name: 1\r\n" + LENGTH, BROKEN_BODY),
    "name-with-control": (OK, LENGTH + b"Bad\x01name: 1\r\n", BROKEN_BODY),
    "blank-before-colon": (OK, b"Content-Length : 2\r\n", BROKEN_BODY),
    "trailer-with-blank": (OK, CHUNKED, CHUNK + b"Bad name: 1\r\n\r\n"),
    "trailer-with-control": (OK, CHUNKED, CHUNK + b"Bad\x01: 1\r\n\r\n"),
}
# More than the system takes for a target that does not read. A smaller request
# is received whole, so that an end in order is that of its answer.
MAX_RECEIVED_BYTES = 128 * 1024
EARLY_RESETS = ("early-reset", "early-late-reset")
WHOLE_MANNERS = ("length", "chunks", "close")


@attrs.define(kw_only=True)
class BrokenTarget(RudeTarget):
    """A RudeTarget that is rude by broken answers alone.

    They are sent before the body of the request is read, or behind it.
    `manners_by_id` has those of the broken answers by request id.
    """

    early_manners = tuple(f"early-{name}" for name in ENDINGS_BY_NAME)
    manners_by_id: dict = attrs.field(factory=dict)

    def start(self, **options):
        """Start as a RudeTarget that receives little at once."""
        super().start(**options)
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def _manner(self, body_bytes):
        if self._chance.random() >= self.rude_share:
            return PLAIN
        if body_bytes > MAX_RECEIVED_BYTES:
            early = self.early_manners
        else:
            early = EARLY_RESETS if body_bytes else ()
        return self._chance.choice((*ANSWERS_BY_MANNER, *early))

    def _answer_early(self, connection, reader, manner, request_id):
        self.manners_by_id[request_id] = manner
        connection.sendall(_broken_answer("part", request_id))
        with contextlib.suppress(OSError):
            ENDINGS_BY_NAME[manner.removeprefix("early-")].play(connection)
        return False

    def _run(self, connection, manner, request_id, target):
        if manner == PLAIN:
            return self._answer_whole(connection, request_id)
        self.manners_by_id[request_id] = manner
        connection.sendall(_broken_answer(manner, request_id))
        if manner == "part":
            RESET_AFTER_A_PART.play(connection)
            return False
        return True

    def _answer_whole(self, connection, request_id):
        """Send a whole answer; return whether the connection is kept."""
        body = json.dumps({"request_id": request_id}).encode()
        head = b"HTTP/1.1 200 OK\r\n" + _id_field(request_id)
        match self._chance.choice(WHOLE_MANNERS):
            case "length":
                fields = b"Content-Length: %d\r\n" % len(body)
            case "chunks":
                fields = CHUNKED
                body = b"%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n" % (len(body), body)
            case "close":
                connection.sendall(head + b"\r\n" + body)
                return False
        connection.sendall(head + fields + b"\r\n" + body)
        return True


def _broken_answer(manner, request_id):
    status, fields, body = ANSWERS_BY_MANNER[manner]
    head = b"HTTP/1.1 %s\r\n%s%s" % (status, _id_field(request_id), fields)
    return head + b"\r\n" + body


def _id_field(request_id):
    return b"X-Request-Id: %s\r\n" % request_id.encode()
