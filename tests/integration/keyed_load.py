"""Callers of keyed requests, and the judgement of what they were told."""

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
MAX_ASKS = 6
ASK_AGAIN_SECONDS = 0.3
PAUSE_SECONDS = 0.02


@attrs.frozen(kw_only=True)
class Asked:
    """One ask of a key; `outcome` is `lost` without an answer."""

    key: str
    request_id: str
    proxy: str
    sent_at: float
    outcome: str
    body: bytes = b""


@attrs.define(kw_only=True)
class KeyedCallers:
    """Ask for keys, and hold what was told against the ledgers."""

    mesh: object
    seed: int
    asked: list = attrs.field(factory=list)
    random: object = attrs.field(init=False)
    _numbers: object = attrs.field(factory=itertools.count, init=False)

    @random.default
    def _seeded(self):
        return random.Random(self.seed)

    def make_key(self):
        """Return a new key of this moment."""
        return new_key(now_ms=int(time.time() * 1000), random=self.random)

    def ask(self, key, proxy):
        """Ask for a key through a proxy; return and keep what was told."""
        fields = {
            "key": key,
            "request_id": f"{key}/{next(self._numbers)}",
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
            told = {"outcome": answer.outcome, "body": answer.body}
        except urllib3.exceptions.HTTPError:
            told = {"outcome": "lost"}
        asked = Asked(**fields, **told)
        self.asked.append(asked)
        return asked

    def ask_at_once(self, keys, proxies):
        """Ask for each key through all proxies at once; return all told."""
        asked = [
            eventlet.spawn(self.ask, key, proxy)
            for key in keys
            for proxy in proxies
        ]
        return [greenthread.wait() for greenthread in asked]

    def ask_until_answered(self, key, proxies):
        """Ask again after anything but an answer, a bounded number of times.

        Return the last that was told.
        """
        for _ in range(MAX_ASKS):
            asked = self.ask(key, self.random.choice(proxies))
            if asked.outcome == "answered":
                break
            eventlet.sleep(ASK_AGAIN_SECONDS)
        return asked

    def ask_forever(self, proxies):
        """Ask for one new key after the other."""
        while True:
            self.ask_until_answered(self.make_key(), proxies)
            eventlet.sleep(PAUSE_SECONDS)

    def judge(self, folder):
        """Check every ask against what ran."""
        entries = read_ledgers(folder)
        started = [entry for entry in entries if entry.phase == "started"]
        runs = runs_by_key(entries)
        runs_by_id = runs_by_request_id(entries)
        bodies_by_key = {}
        assert self.asked
        for key, count in runs.items():
            assert count <= 1 or not key, self._trace(key, started)
        for asked in self.asked:
            match asked.outcome:
                case "answered":
                    bodies = bodies_by_key.setdefault(asked.key, set())
                    bodies.add(asked.body)
                    assert runs[asked.key] == 1, asked
                    assert len(bodies) == 1, (asked, bodies)
                    own_id = json.loads(asked.body)["request_id"]
                    assert own_id.startswith(f"{asked.key}/"), asked
                case "not-run":
                    assert runs_by_id[asked.request_id] == 0, asked
                    assert not _ran_before(asked, started), self._trace(
                        asked.key, started
                    )
                case _:
                    assert asked.outcome in ("unknown", "lost"), asked

    def _trace(self, key, started):
        told = [asked for asked in self.asked if asked.key == key]
        ran = [entry for entry in started if entry.key == key]
        return "\n".join(str(item) for item in told + ran)


def _ran_before(asked, started):
    return any(
        entry.key == asked.key and entry.time < asked.sent_at
        for entry in started
    )
