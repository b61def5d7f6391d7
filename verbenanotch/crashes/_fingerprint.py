"""The fingerprint by which a request is recognized when it is repeated."""

import xxhash


def fingerprint(*, route_host, method, path, body):
    """Return the 16 bytes that identify a request and its repeats.

    They are a hash of the host that the route matches (empty for all), the
    method, the path with its query, and the body. Whatever may differ between
    two repeats is left out: the service, which a split route chooses anew,
    the idempotency key, and the names of routes, which operators change.
    """
    digest = xxhash.xxh3_128()
    for part in (route_host, method, path):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.digest()
