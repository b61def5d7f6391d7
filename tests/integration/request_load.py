"""Send random requests and check their outcomes against the ledgers."""

import json
import random
import time

import attrs
import eventlet
import urllib3

from tests.support.ledger import read_ledgers, runs_by_request_id

MESH_TEXT = """
name = "requests"

[services.pay]
slots = 8
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "pay"
timeout_ms = 2000
"""
SERVICE = "pay"
IDEMPOTENT_SHARE = 0.3
MAX_BODY_BYTES = 100_000
# Calls at once that exceed the slots of all targets but one, and their time.
CALLS_FOR_ALL_TARGETS = 40
CALL_LATENCY_MS = 200


@attrs.frozen(kw_only=True)
class Result:
    """Result of one request; `outcome` is `lost` without a response.

    `detail` is the start of the response body, or the reason of the loss.
    `is_own_and_complete` is true if the response's header and its complete
    JSON body have the id of this request.
    """

    request_id: str
    method: str
    proxy: str
    status: int
    outcome: str
    retry_after: str
    detail: str
    is_own_and_complete: bool


@attrs.define(kw_only=True)
class Load:
    """Open-loop load with a fixed seed; each request has its own id.

    `rate` is in requests per second, `idempotent_share` the share of GETs;
    the others are POSTs. A request whose connection is refused is sent to
    the next proxy, because nothing of it was sent; other failures are not
    retried.
    """

    mesh: object
    proxies: list
    seed: int
    rate: float = 60.0
    path: str = "/pay/1"
    timeout_ms: int = 2000
    idempotent_share: float = IDEMPOTENT_SHARE
    results: list = attrs.field(factory=list)
    sent_at_by_request_id: dict = attrs.field(factory=dict)
    _number: int = 0
    _pool: object = attrs.field(
        factory=lambda: eventlet.GreenPool(2000), init=False
    )
    _random: object = attrs.field(default=None, init=False)
    _sender: object = attrs.field(default=None, init=False)

    def __enter__(self):
        """Start to send requests."""
        self._random = random.Random(self.seed)
        self._sender = eventlet.spawn(self._send_forever)
        return self

    def __exit__(self, *_):
        """Stop sending requests and wait for every response."""
        self._sender.kill()
        self._pool.waitall()

    def _send_forever(self):
        while True:
            self._number += 1
            method = "POST"
            if self._random.random() < self.idempotent_share:
                method = "GET"
            size = int(self._random.random() ** 4 * MAX_BODY_BYTES)
            body = self._random.randbytes(size) if method == "POST" else None
            proxies = self._random.sample(self.proxies, len(self.proxies))
            request_id = f"{self.seed}-{self._number}"
            self._pool.spawn_n(self._send, request_id, method, body, proxies)
            eventlet.sleep(1 / self.rate)

    def _send(self, request_id, method, body, proxies):
        failure_detail = "no proxy accepted a connection"
        self.sent_at_by_request_id[request_id] = time.time()
        for proxy in proxies:
            try:
                answer = self.mesh.call(
                    method,
                    self.path,
                    proxy=proxy,
                    body=body,
                    request_id=request_id,
                    timeout_ms=self.timeout_ms,
                )
            except urllib3.exceptions.NewConnectionError:
                continue
            except urllib3.exceptions.HTTPError as error:
                failure_detail = repr(error)
                break
            self.results.append(_result(request_id, method, proxy, answer))
            return
        self.results.append(
            Result(
                request_id=request_id,
                method=method,
                proxy=proxy,
                status=0,
                outcome="lost",
                retry_after="",
                detail=failure_detail,
                is_own_and_complete=False,
            )
        )

    def counts(self):
        """Return the number of results by outcome."""
        counts = {"answered": 0, "not-run": 0, "unknown": 0, "lost": 0}
        for result in self.results:
            assert result.outcome in counts, result
            counts[result.outcome] += 1
        return counts


def assert_consistent_with_ledgers(load, folder):
    """Assert that the results agree with the targets' ledgers.

    A POST ran at most once; a request that was answered `not-run` never ran;
    an answered request ran and got its own, complete answer. No host logged a
    `request-failed` event.
    """
    runs = runs_by_request_id(read_ledgers(folder))
    assert load.results
    for path in load.mesh.event_paths():
        assert '"request-failed"' not in path.read_text(encoding="utf-8")
    for result in load.results:
        count = runs[result.request_id]
        if result.method == "POST":
            assert count <= 1, f"ran {count} times: {result}"
        if result.outcome == "not-run":
            assert count == 0, f"ran {count} times: {result}"
            assert result.retry_after, result
        if result.outcome == "answered":
            assert count >= 1, f"answered without a run: {result}"
            assert result.is_own_and_complete, result


def wait_until_all_targets_used(mesh, proxies):
    """Wait until the requests of each proxy go to the targets of all zones.

    More are sent at once than the targets of one zone take: a proxy that
    sends few may have a reason to prefer some targets to others that it
    knows.
    """
    for proxy in proxies:
        mesh.wait_until(
            lambda proxy=proxy: (
                len(_targets_of_calls_at_once(mesh, proxy))
                == len(mesh.targets())
            ),
            what=f"use of all targets by {proxy}",
        )


def _targets_of_calls_at_once(mesh, proxy):
    path = f"/pay/1?latency_ms={CALL_LATENCY_MS}"
    answers = eventlet.GreenPool().imap(
        lambda _: mesh.call("GET", path, proxy=proxy),
        range(CALLS_FOR_ALL_TARGETS),
    )
    return {a.value["target"] for a in answers if a.outcome == "answered"}


def _result(request_id, method, proxy, answer):
    return Result(
        request_id=request_id,
        method=method,
        proxy=proxy,
        status=answer.status,
        outcome=answer.outcome,
        retry_after=answer.retry_after,
        detail=answer.body[:300].decode(errors="replace"),
        is_own_and_complete=_is_own_and_complete(request_id, answer),
    )


def _is_own_and_complete(request_id, answer):
    if answer.request_id != request_id:
        return False
    try:
        return json.loads(answer.body).get("request_id") == request_id
    except ValueError:
        return False
