"""Send keyed requests and check their outcomes against the ledgers."""

import itertools
import json
import random
import time

import attrs
import eventlet
import urllib3

from tests.support.ledger import read_ledgers, runs_by_key, runs_by_request_id
from verbenanotch.idempotency import new_key

TIMEOUT_MS = 1500
MAX_ATTEMPTS = 6
RETRY_DELAY_SECONDS = 0.3
NEXT_KEY_DELAY_SECONDS = 0.02


@attrs.frozen(kw_only=True)
class KeyedAttempt:
    """One request with a key; `outcome` is `lost` without a response.

    `sent_at` is in seconds since the Unix epoch.
    """

    key: str
    request_id: str
    proxy: str
    sent_at: float
    outcome: str
    body: bytes = b""


@attrs.define(kw_only=True)
class KeyedCallers:
    """Callers that send requests with keys and record every attempt."""

    mesh: object
    seed: int
    attempts: list = attrs.field(factory=list)
    random: object = attrs.field(init=False)
    _attempt_numbers: object = attrs.field(factory=itertools.count, init=False)

    @random.default
    def _make_random(self):
        return random.Random(self.seed)

    def make_key(self):
        """Return a new key with the current time as its time of issue."""
        return new_key(now_ms=int(time.time() * 1000), random=self.random)

    def send(self, key, proxy):
        """Send a request with a key to a proxy; record and return it."""
        fields = {
            "key": key,
            "request_id": f"{key}/{next(self._attempt_numbers)}",
            "proxy": proxy,
            "sent_at": time.time(),
        }
        try:
            answer = self.mesh.call(
                "POST",
                "/pay/1",
                proxy=proxy,
                key=key,
                body=key.encode(),
                request_id=fields["request_id"],
                timeout_ms=TIMEOUT_MS,
            )
            response_fields = {"outcome": answer.outcome, "body": answer.body}
        except urllib3.exceptions.HTTPError:
            response_fields = {"outcome": "lost"}
        attempt = KeyedAttempt(**fields, **response_fields)
        self.attempts.append(attempt)
        return attempt

    def send_concurrently(self, keys, proxies):
        """Send each key to all proxies at once; return the attempts."""
        greenthreads = [
            eventlet.spawn(self.send, key, proxy)
            for key in keys
            for proxy in proxies
        ]
        return [greenthread.wait() for greenthread in greenthreads]

    def retry_until_answered(self, key, proxies):
        """Send a key until it is answered, at most MAX_ATTEMPTS times.

        Returns the last attempt.
        """
        for _ in range(MAX_ATTEMPTS):
            attempt = self.send(key, self.random.choice(proxies))
            if attempt.outcome == "answered":
                break
            eventlet.sleep(RETRY_DELAY_SECONDS)
        return attempt

    def send_forever(self, proxies):
        """Send new keys one after the other, until this is killed."""
        while True:
            self.retry_until_answered(self.make_key(), proxies)
            eventlet.sleep(NEXT_KEY_DELAY_SECONDS)

    def assert_consistent_with_ledgers(self, folder):
        """Assert that the outcome of every attempt agrees with the runs.

        Each key ran at most once; all answers to a key have the body of the
        one run, also if they went through different proxies. A request that
        was answered `not-run` did not run, and its key had not run before
        the request was sent.
        """
        entries = read_ledgers(folder)
        started = [entry for entry in entries if entry.phase == "started"]
        runs = runs_by_key(entries)
        runs_by_id = runs_by_request_id(entries)
        bodies_by_key = {}
        assert self.attempts
        for key, count in runs.items():
            assert count <= 1 or not key, self._describe_key(key, started)
        for attempt in self.attempts:
            match attempt.outcome:
                case "answered":
                    bodies = bodies_by_key.setdefault(attempt.key, set())
                    bodies.add(attempt.body)
                    assert runs[attempt.key] == 1, attempt
                    assert len(bodies) == 1, (attempt, bodies)
                    own_id = json.loads(attempt.body)["request_id"]
                    assert own_id.startswith(f"{attempt.key}/"), attempt
                case "not-run":
                    assert runs_by_id[attempt.request_id] == 0, attempt
                    assert not _ran_before(attempt, started), (
                        self._describe_key(attempt.key, started)
                    )
                case _:
                    assert attempt.outcome in ("unknown", "lost"), attempt

    def _describe_key(self, key, started):
        attempts = [attempt for attempt in self.attempts if attempt.key == key]
        runs_of_key = [entry for entry in started if entry.key == key]
        return "\n".join(str(record) for record in attempts + runs_of_key)


def _ran_before(attempt, started):
    return any(
        entry.key == attempt.key and entry.time < attempt.sent_at
        for entry in started
    )
