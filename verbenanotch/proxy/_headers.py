"""Headers of the request path: names, rules, what travels on."""

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


def own_headers(names):
    """Return the headers that only proxies set, in lower case.

    `names` is a HeaderNames.
    """
    return frozenset(
        name.lower()
        for name in (
            names.request_id,
            names.timeout,
            names.outcome,
            names.depth,
            names.retries,
            names.target,
            names.caller,
        )
        if name
    )


def environ_key(name):
    """Return the WSGI key of a request header."""
    return "HTTP_" + name.upper().replace("-", "_")


def without_hop_headers(items):
    """Return end-to-end headers only, as a tuple of pairs.

    Those named by a Connection header concern one hop as well.
    """
    dropped = HOP_HEADERS
    kept = []
    for name, value in items:
        lowered = name.lower()
        if lowered == "connection":
            tokens = {token.strip().lower() for token in value.split(",")}
            dropped = dropped | tokens
        elif lowered not in dropped:
            kept.append((name, value))
    if dropped is HOP_HEADERS:
        return tuple(kept)
    # A Connection header also concerns the fields before it.
    return tuple(item for item in kept if item[0].lower() not in dropped)


def caller_headers(items, own):
    """Return what a caller's headers contribute to a call.

    `own` are the `own_headers`.
    """
    return tuple(
        (name, value)
        for name, value in without_hop_headers(items)
        if name.lower() not in own
    )


def target_headers(call, remaining_ms, names):
    """Return the headers that a target gets, as pairs.

    A target that calls on passes the request id, timeout, depth and retries
    to its own proxy.
    """
    own = (
        (names.request_id, call.request_id),
        (names.timeout, str(remaining_ms)),
        (names.depth, str(call.depth + 1)),
        (names.retries, str(call.next_hop_retries)),
        (names.target, call.target_id),
        (names.caller, call.caller),
    )
    return (*call.headers, *[item for item in own if item[0]])
