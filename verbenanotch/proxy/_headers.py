"""Headers of the request path: names, rules, what travels on."""

OUTCOME_HEADER = "X-Verbenanotch-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
DEPTH_HEADER = "X-Verbenanotch-Depth"
RETRIES_HEADER = "X-Verbenanotch-Retries"
KEY_HEADER = "Idempotency-Key"

HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
CALL_HEADERS = frozenset(
    name.lower()
    for name in (
        OUTCOME_HEADER,
        REQUEST_ID_HEADER,
        TIMEOUT_HEADER,
        DEPTH_HEADER,
        RETRIES_HEADER,
    )
)


def without_hop_headers(items):
    """Return end-to-end headers only, as a tuple of pairs.

    Those named by a Connection header concern one hop as well.
    """
    items = list(items)
    named = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in items
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    )


def caller_headers(items):
    """Return what a caller's headers contribute to a call."""
    return tuple(
        (name, value)
        for name, value in without_hop_headers(items)
        if name.lower() not in CALL_HEADERS
    )


class HeaderPairs:
    """Header pairs in the shape that the HTTP library reads.

    It asks for the names and for the items, once each. A dictionary that
    joins repeated names and compares them without case would cost more
    than the sending.
    """

    def __init__(self, pairs):
        """Take pairs of name and value, in the order of sending."""
        self._pairs = pairs

    def __iter__(self):
        """Yield the names."""
        return (name for name, _ in self._pairs)

    def items(self):
        """Return the pairs."""
        return self._pairs


def target_headers(call, remaining_ms):
    """Return the headers that a target gets.

    A target that calls on passes the request id, timeout, depth and retries
    to its own proxy.
    """
    return HeaderPairs(
        (
            *call.headers,
            (REQUEST_ID_HEADER, call.request_id),
            (TIMEOUT_HEADER, str(remaining_ms)),
            (DEPTH_HEADER, str(call.depth + 1)),
            (RETRIES_HEADER, str(call.retries_below)),
        )
    )
