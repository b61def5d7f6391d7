"""Bound the memory of the bodies that a proxy keeps.

The load patterns: targets answer many requests at once with bytes without end,
and callers send such bodies. Each body is below the limit of a single one, and
all of them together are not.

Requests get a part of the bytes, so that there is room for the answers to
those that run: a request without room is refused, while an answer without room
is lost. Large bodies leave a reserve to the small ones, so that a few of them
keep no small request out.
"""

import attrs

from verbenanotch.proxy.exceptions import AnswersTooLargeError, BodiesFullError

SMALL_BODY_BYTES = 64 * 1024
# Of all bytes.
LARGE_REQUESTS_SHARE = 1 / 2
SMALL_BODIES_SHARE = 1 / 16
SHORT_SHARE = 1 / 2
# What a request keeps besides the bytes of its body while that is received:
# a greenthread, buffers and headers.
RECEIVING_OVERHEAD_BYTES = 64 * 1024
# Of the reserve for small bodies; unfinished ones leave the rest to those that
# have arrived.
UNFINISHED_RESERVE_SHARE = 1 / 2


@attrs.frozen(kw_only=True)
class Shortage:
    """The bytes that are missing, those of large bodies also apart."""

    missing_bytes: int
    missing_large_bytes: int

    def __bool__(self):
        """Return whether anything is missing."""
        return self.missing_bytes > 0 or self.missing_large_bytes > 0

    def without(self, body, overhead):
        """Return the rest once two Reservations are released.

        It is equal if they would be of no use.
        """
        released_large_bytes = _large_part(body.used_bytes)
        if self.missing_bytes <= 0 and not released_large_bytes:
            return self
        return Shortage(
            missing_bytes=self.missing_bytes
            - body.used_bytes
            - overhead.used_bytes,
            missing_large_bytes=self.missing_large_bytes
            - released_large_bytes,
        )


@attrs.define(kw_only=True, eq=False)
class _Pool:
    """Bytes for bodies, at most `max_large_bytes` of them for large ones."""

    max_bytes: int
    max_large_bytes: int
    used_bytes: int = 0
    large_bytes: int = 0

    def has_room(self, body_bytes, count):
        """Return whether a body of `body_bytes` may take `count` more."""
        if self.used_bytes + count > self.max_bytes:
            return False
        if body_bytes + count <= SMALL_BODY_BYTES:
            return True
        others = self.large_bytes - _large_part(body_bytes)
        return others + body_bytes + count <= self.max_large_bytes

    def shortage(self, body_bytes, count):
        """Return the Shortage for a body of `body_bytes` to take more."""
        missing_large_bytes = 0
        if body_bytes + count > SMALL_BODY_BYTES:
            others = self.large_bytes - _large_part(body_bytes)
            missing_large_bytes = (
                others + body_bytes + count - self.max_large_bytes
            )
        return Shortage(
            missing_bytes=max(0, self.used_bytes + count - self.max_bytes),
            missing_large_bytes=max(0, missing_large_bytes),
        )

    def add(self, body_bytes, count):
        """Add `count` bytes to a body of `body_bytes`; subtract a negative."""
        self.used_bytes += count
        self.large_bytes += _large_part(body_bytes + count)
        self.large_bytes -= _large_part(body_bytes)


class BodyBudget:
    """Bytes of all bodies of requests and answers that a proxy keeps."""

    def __init__(self, *, max_bytes, max_body_bytes=0):
        """Allow `max_bytes` in total.

        An idle proxy always accepts a single body of `max_body_bytes`.
        """
        reserve = int(max_bytes * SMALL_BODIES_SHARE)
        max_large_request_bytes = max(
            max_body_bytes, int(max_bytes * LARGE_REQUESTS_SHARE)
        )
        self.max_bytes = max_bytes
        # Small budgets have room for the overhead of some bodies, too.
        self.overhead_bytes = min(RECEIVING_OVERHEAD_BYTES, reserve // 4)
        self._all = _Pool(
            max_bytes=max_bytes,
            max_large_bytes=max(max_body_bytes, max_bytes - reserve),
        )
        # With the overhead of unfinished bodies.
        self._memory = _Pool(
            max_bytes=max(max_bytes, max_body_bytes + self.overhead_bytes),
            max_large_bytes=max_bytes,
        )
        self._requests = _Pool(
            max_bytes=max_large_request_bytes + reserve,
            max_large_bytes=max_large_request_bytes,
        )
        max_unfinished_bytes = max_large_request_bytes + int(
            reserve * UNFINISHED_RESERVE_SHARE
        )
        self._unfinished = _Pool(
            max_bytes=max_unfinished_bytes,
            max_large_bytes=max_unfinished_bytes,
        )

    @property
    def used_bytes(self):
        """Bytes of all bodies, with the overhead of unfinished ones."""
        return self._memory.used_bytes

    @property
    def is_short(self):
        """Whether bodies of a usual load may soon find no room."""
        return self.used_bytes > self.max_bytes * SHORT_SHARE

    def reserve_request(self):
        """Return the Reservation for the body of a request."""
        return Reservation(
            pools=(self._all, self._memory, self._requests),
            make_error=self._requests_error,
        )

    def reserve_overhead(self):
        """Return the Reservation for the overhead of an unfinished body."""
        return Reservation(
            pools=(self._memory, self._requests, self._unfinished),
            make_error=self._requests_error,
        )

    def begin_receipt(self, reservation):
        """Count the body of a request among the unfinished ones, too."""
        reservation.join(self._unfinished)

    def end_receipt(self, reservation):
        """Count the body of a request no longer among the unfinished ones."""
        reservation.leave(self._unfinished)

    def reserve_answer(self):
        """Return the Reservation for the body of an answer."""
        return Reservation(
            pools=(self._all, self._memory), make_error=self._answers_error
        )

    def _requests_error(self):
        return BodiesFullError(
            "the bodies of requests and answers take up the "
            f"{self.max_bytes} bytes of proxy.max_receiving_bytes; "
            "send the request again later"
        )

    def _answers_error(self):
        return AnswersTooLargeError(
            "the bodies of requests and answers take over "
            f"{self.max_bytes} bytes together; raise "
            "proxy.max_receiving_bytes, or find out why they are large"
        )


class Reservation:
    """The bytes of one body; a context manager that gives them back."""

    def __init__(self, *, pools, make_error):
        """Start without bytes; raise `make_error()` if too few are left."""
        self._pools = pools
        self._make_error = make_error
        self._bytes = 0

    @property
    def used_bytes(self):
        """Bytes that have been taken."""
        return self._bytes

    def __enter__(self):
        """Return the reservation."""
        return self

    def __exit__(self, *_):
        """Give all bytes back."""
        self.release()

    def check(self, count):
        """Check that `count` bytes could be taken now.

        Raises BodiesFullError for a request, AnswersTooLargeError for an
        answer.
        """
        if not all(pool.has_room(self._bytes, count) for pool in self._pools):
            raise self._make_error()

    def take(self, count):
        """Take bytes before they are kept; see `check` for its errors.

        No bytes can always be taken, whatever `keep` has counted.
        """
        if count:
            self.check(count)
        self.keep(count)

    def shortage(self, count):
        """Return the Shortage for taking `count` bytes now."""
        shortages = [pool.shortage(self._bytes, count) for pool in self._pools]
        return Shortage(
            missing_bytes=max(x.missing_bytes for x in shortages),
            missing_large_bytes=max(x.missing_large_bytes for x in shortages),
        )

    def join(self, pool):
        """Take the bytes from one more pool, too."""
        pool.add(0, self._bytes)
        self._pools = (*self._pools, pool)

    def leave(self, pool):
        """Give the bytes back to a pool; it need not have been joined."""
        if pool in self._pools:
            pool.add(self._bytes, -self._bytes)
            self._pools = tuple(x for x in self._pools if x is not pool)

    def keep(self, count):
        """Count bytes that are in memory already and can't be refused."""
        for pool in self._pools:
            pool.add(self._bytes, count)
        self._bytes += count

    def release(self):
        """Give all bytes back; they may be taken anew."""
        self.keep(-self._bytes)


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


def _large_part(body_bytes):
    """Return the bytes of a body that count as those of a large one."""
    return body_bytes if body_bytes > SMALL_BODY_BYTES else 0
