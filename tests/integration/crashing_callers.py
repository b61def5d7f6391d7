"""A caller that keeps sending one request that crashes its targets."""

import time

import attrs
import eventlet
import urllib3

from tests.support.callers import CALL_TIMEOUT_SECONDS
from tests.support.ledger import read_ledgers

CRASH_MARKER = "poison"
SEND_INTERVAL_SECONDS = 0.25
SUPERVISION_INTERVAL_SECONDS = 0.1
REQUEST_ID_PREFIX = "poison-"


@attrs.define(kw_only=True)
class CrashingCaller:
    """Send one request to the proxies in turn, under new request ids.

    Use it as a context manager. Targets that have ended are started again
    at once. `parameters` is appended to the query and changes the targets'
    Behaviour. Each request has a deadline of `timeout_ms`, if that is set;
    its caller closes the connection after `patience_seconds`. `results` has
    a tuple of the outcome and the reason for each request that a proxy
    answered.
    """

    mesh: object
    path: str
    method: str = "GET"
    parameters: str = ""
    timeout_ms: int | None = None
    patience_seconds: float = CALL_TIMEOUT_SECONDS
    proxies: list = None
    interval_seconds: float = SEND_INTERVAL_SECONDS
    results: list = attrs.field(factory=list)
    started_at: float = 0.0
    _number: int = 0
    _is_supervising: bool = True
    _sender: object = None
    _supervisor: object = None

    def __enter__(self):
        """Start to send and to supervise the targets."""
        if self.proxies is None:
            self.proxies = [host.name for host in self.mesh.topology.proxies]
        self.started_at = time.time()
        self._sender = eventlet.spawn(self._send_forever)
        self._supervisor = eventlet.spawn(self._supervise)
        return self

    def __exit__(self, *_):
        """Stop sending and supervising.

        The supervisor is not killed: it may be starting a process, which
        nothing would stop then.
        """
        self._sender.kill()
        self._is_supervising = False
        self._supervisor.wait()

    def crash_times(self):
        """Return when the request started at targets, in seconds."""
        return [
            round(entry.time - self.started_at, 1)
            for entry in read_ledgers(self.mesh.folder)
            if entry.phase == "started"
            and entry.request_id.startswith(REQUEST_ID_PREFIX)
        ]

    def _send_forever(self):
        while True:
            proxy = self.proxies[self._number % len(self.proxies)]
            self._number += 1
            eventlet.spawn_n(self._send, proxy, self._number)
            eventlet.sleep(self.interval_seconds)

    def _send(self, proxy, number):
        try:
            answer = self.mesh.call(
                self.method,
                f"{self.path}?crash_marker={CRASH_MARKER}{self.parameters}",
                proxy=proxy,
                body=CRASH_MARKER.encode(),
                request_id=f"{REQUEST_ID_PREFIX}{number}",
                timeout_ms=self.timeout_ms,
                timeout_seconds=self.patience_seconds,
            )
        except urllib3.exceptions.HTTPError:
            return
        reason = "" if answer.outcome == "answered" else answer.value["reason"]
        self.results.append((answer.outcome, reason))

    def _supervise(self):
        while self._is_supervising:
            for name in self.mesh.targets():
                child = self.mesh.child(name)
                if not child.is_alive:
                    child.start()
            eventlet.sleep(SUPERVISION_INTERVAL_SECONDS)
