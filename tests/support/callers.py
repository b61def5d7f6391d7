"""Send callers' requests to a proxy and read the responses."""

import json

import attrs

CALL_TIMEOUT_SECONDS = 15.0


@attrs.frozen(kw_only=True)
class Answer:
    """Response to a caller.

    `outcome` is the value of the X-Verbenanotch-Outcome header. `outcome`,
    `request_id` and `retry_after` are empty if their header is missing.
    """

    status: int
    outcome: str
    request_id: str
    retry_after: str
    body: bytes

    @property
    def value(self):
        """Return the body's JSON value."""
        return json.loads(self.body)


def send(
    pool,
    method,
    server,
    path,
    *,
    key=None,
    body=None,
    request_id=None,
    timeout_ms=None,
    account_key=None,
    timeout_seconds=CALL_TIMEOUT_SECONDS,
):
    """Send a request to a proxy at `address:port`; return its Answer."""
    values_by_header = {
        "Idempotency-Key": key,
        "X-Request-Id": request_id,
        "X-Verbenanotch-Account-Key": account_key,
        "X-Request-Timeout-Ms": timeout_ms and str(timeout_ms),
    }
    response = pool.request(
        method,
        f"http://{server}{path}",
        body=body,
        headers={
            name: value for name, value in values_by_header.items() if value
        },
        timeout=timeout_seconds,
    )
    return Answer(
        status=response.status,
        outcome=response.headers.get("X-Verbenanotch-Outcome", ""),
        request_id=response.headers.get("X-Request-Id", ""),
        retry_after=response.headers.get("Retry-After", ""),
        body=response.data,
    )
