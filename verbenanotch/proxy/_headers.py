"""HTTP headers of requests: which ones are forwarded, dropped or added."""

KEY_HEADER = "Idempotency-Key"

# Hop-by-hop headers, and headers that each hop sets itself.
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


def mesh_headers(names):
    """Return the lower-case names of the headers that proxies set themselves.

    `names` is a HeaderNames. These headers of a caller are not forwarded.
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


def account_headers(names):
    """Return the lower-case names of the headers about client accounts."""
    return frozenset(
        name.lower() for name in (names.account_key, names.account) if name
    )


def without_headers(headers, excluded):
    """Return the headers without those in `excluded`, lower-case names.

    Underscores count as hyphens, as some targets treat both alike.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower().replace("_", "-") not in excluded
    )


def environ_name(name):
    """Return the name of a request header in the WSGI environ."""
    return "HTTP_" + name.upper().replace("-", "_")


def without_hop_headers(headers):
    """Return the end-to-end headers, as a tuple of name-value pairs.

    Headers that are named in a Connection header are dropped as well, since
    they also apply to one hop only.
    """
    dropped = HOP_HEADERS
    kept = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == "connection":
            tokens = {token.strip().lower() for token in value.split(",")}
            dropped = dropped | tokens
        elif lowered not in dropped:
            kept.append((name, value))
    if dropped is HOP_HEADERS:
        return tuple(kept)
    # A Connection header also applies to headers that precede it.
    return tuple(header for header in kept if header[0].lower() not in dropped)


def caller_headers(headers, excluded):
    """Return the headers of a caller that are forwarded to the target.

    `excluded` are the lower-case names from `mesh_headers`.
    """
    return tuple(
        (name, value)
        for name, value in without_hop_headers(headers)
        if name.lower() not in excluded
    )


def target_headers(call, remaining_ms, names):
    """Return the headers that are sent to a target, as name-value pairs.

    A target that makes calls itself passes the request id, timeout, depth
    and retries on to its own proxy.
    """
    added = (
        (names.request_id, call.request_id),
        (names.timeout, str(remaining_ms)),
        (names.depth, str(call.depth + 1)),
        (names.retries, str(call.next_hop_retries)),
        (names.target, call.target_id),
        (names.caller, call.caller),
    )
    if call.account:
        added = (*added, (names.account, call.account))
    return (*call.headers, *[header for header in added if header[0]])
