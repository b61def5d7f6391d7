"""Bound the memory of the bodies that a proxy keeps.

The load patterns: targets answer many requests at once with bytes without end,
and callers send such bodies. Each body is below the limit of a single one, and
all of them together are not.

Requests get a part of the bytes, so that there is room for the answers to
those that run: a request without room is refused, while an answer without room
is lost. Bodies that are not small leave a reserve to the small ones, so that
a few large bodies keep no small request out.
"""

from verbenanotch.proxy.exceptions import AnswersTooLargeError, BodiesFullError

SMALL_BODY_BYTES = 64 * 1024
# Of all bytes.
REQUESTS_SHARE = 1 / 2
SMALL_BODIES_SHARE = 1 / 16


class BodyBudget:
    """Bytes of all bodies of requests and answers that a proxy keeps.

    `max_body_bytes` is the size up to which a single body is accepted.
    """

    def __init__(self, *, max_bytes, max_body_bytes=0):
        """Allow `max_bytes` in total."""
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.request_bytes = 0
        self._max_request_bytes = max(
            max_body_bytes, int(max_bytes * REQUESTS_SHARE)
        )
        # A single body of the largest size always fits into an idle proxy.
        self._max_bytes_of_large = max(
            max_body_bytes, int(max_bytes * (1 - SMALL_BODIES_SHARE))
        )

    def reserve_request(self):
        """Return the Reservation for the body of a request."""
        return _RequestReservation(budget=self)

    def reserve_answer(self):
        """Return the Reservation for the body of an answer."""
        return _AnswerReservation(budget=self)

    def has_room(self, body_bytes, count):
        """Return whether a body of `body_bytes` may take `count` more."""
        is_small = body_bytes + count <= SMALL_BODY_BYTES
        limit = self.max_bytes if is_small else self._max_bytes_of_large
        return self.used_bytes + count <= limit

    def has_request_room(self, body_bytes, count):
        """Return whether the body of a request may take `count` more."""
        return (
            self.request_bytes + count <= self._max_request_bytes
            and self.has_room(body_bytes, count)
        )


class _Reservation:
    """The bytes of one body; a context manager that gives them back."""

    def __init__(self, *, budget):
        """Start without bytes."""
        self._budget = budget
        self._bytes = 0

    def __enter__(self):
        """Return the reservation."""
        return self

    def __exit__(self, *_):
        """Give all bytes back."""
        self.release()

    def keep(self, count):
        """Count bytes that are in memory already and can't be refused."""
        self._bytes += count
        self._budget.used_bytes += count

    def release(self):
        """Give all bytes back; they may be taken anew."""
        self.keep(-self._bytes)


class _AnswerReservation(_Reservation):
    """The bytes of the body of one answer."""

    def take(self, count):
        """Take bytes before they are kept.

        Raises AnswersTooLargeError if there are not enough left.
        """
        if not self._budget.has_room(self._bytes, count):
            raise AnswersTooLargeError(
                "the bodies of requests and answers take over "
                f"{self._budget.max_bytes} bytes together; raise "
                "proxy.max_receiving_bytes, or find out why they are large"
            )
        self.keep(count)


class _RequestReservation(_Reservation):
    """The bytes of the body of one request."""

    def take(self, count):
        """Take bytes before they are kept.

        Raises BodiesFullError if there are not enough left.
        """
        self.check(count)
        self.keep(count)

    def check(self, count):
        """Raise BodiesFullError if `count` bytes can't be taken now."""
        if not self._budget.has_request_room(self._bytes, count):
            raise BodiesFullError(
                "the bodies of requests and answers take up the "
                f"{self._budget.max_bytes} bytes of "
                "proxy.max_receiving_bytes; send the request again later"
            )

    def keep(self, count):
        """Count bytes that are in memory already and can't be refused."""
        super().keep(count)
        self._budget.request_bytes += count


class KeptBodies(list):
    """The WSGI result of one request, with the Reservations of its bodies.

    The server closes it once the answer has been sent.
    """

    def __init__(self, *, budget):
        """Start without a result and without bytes."""
        super().__init__()
        self.request = budget.reserve_request()
        self.answer = budget.reserve_answer()

    def close(self):
        """Give the bytes of both bodies back."""
        self.request.release()
        self.answer.release()
