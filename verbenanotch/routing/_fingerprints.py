"""Stop a request that crashes the targets that run it."""

import collections
import dataclasses

import attrs
import xxhash

MAX_CRASHES = 2
BLOCK_SECONDS = 30.0
MAX_BLOCK_SECONDS = 600.0
SUSPECT_SECONDS = 600.0
MAX_ENTRIES = 4096
MAX_NOTICES_PER_ENTRY = 16
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class CrashNotice:
    """A target died with a request in flight; sent to the zone's proxies.

    `host`, `incarnation` and `number` identify the notice, so that one that
    arrives twice counts once. Send it before the caller is answered: the
    caller's next ask then finds every reachable proxy informed.
    """

    fingerprint: bytes
    host: str
    incarnation: int
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blocked:
    """The request is refused at once; this attempt was not run."""

    fingerprint: bytes
    crashes: int
    retry_after_ms: int


@attrs.define(kw_only=True)
class _Suspect:
    notices: set = attrs.field(factory=set)
    crashes: int = 0
    blocks: int = 0
    blocked_until: float = float("-inf")
    last_crash_at: float = float("-inf")


def fingerprint(*, route, method, path, body, key=None):
    """Return the 16 bytes that identify a request and its repetitions.

    The idempotency key where there is one, else the route with method, path,
    query and body. `body` may be a digest of the body.
    """
    digest = xxhash.xxh3_128()
    parts = ("key", key) if key else (route, method, path)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    if not key:
        digest.update(body)
    return digest.digest()


class CrashBlocklist:
    """Count the deaths in flight per fingerprint, in bounded memory.

    The second death in the zone blocks the fingerprint; when the block is
    over, each further death blocks it for twice as long. An answer clears
    it, as other requests are in flight when a target dies.
    """

    def __init__(self, *, host, incarnation, max_entries=MAX_ENTRIES):
        """Start with no suspects."""
        self._host = host
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._suspects_by_fingerprint = collections.OrderedDict()
        self._numbers = 0
        self.refused = 0
        self.dropped = 0

    def __len__(self):
        """Return the number of suspects."""
        return len(self._suspects_by_fingerprint)

    def check(self, fingerprint, now):
        """Return Blocked if the request must be refused, else None."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or now >= suspect.blocked_until:
            return None
        self.refused += 1
        left = (suspect.blocked_until - now) * MILLISECONDS_PER_SECOND
        return Blocked(
            fingerprint=fingerprint,
            crashes=suspect.crashes,
            retry_after_ms=int(left) + 1,
        )

    def record_crash(self, fingerprint, now):
        """Note that a target of this host died; return the notice to send."""
        self._numbers += 1
        notice = CrashNotice(
            fingerprint=fingerprint,
            host=self._host,
            incarnation=self._incarnation,
            number=self._numbers,
        )
        self.record_notice(notice, now)
        return notice

    def record_notice(self, notice, now):
        """Count a notice; return whether it blocked the fingerprint."""
        suspect = self._suspect(notice.fingerprint, now)
        identity = (notice.host, notice.incarnation, notice.number)
        if suspect is None or identity in suspect.notices:
            return False
        if len(suspect.notices) >= MAX_NOTICES_PER_ENTRY:
            suspect.notices.clear()
        suspect.notices.add(identity)
        suspect.crashes += 1
        suspect.last_crash_at = now
        self._suspects_by_fingerprint.move_to_end(notice.fingerprint)
        if suspect.crashes < MAX_CRASHES:
            return False
        seconds = min(MAX_BLOCK_SECONDS, BLOCK_SECONDS * 2**suspect.blocks)
        suspect.blocks = min(suspect.blocks + 1, MAX_NOTICES_PER_ENTRY)
        suspect.blocked_until = max(suspect.blocked_until, now + seconds)
        return True

    def record_answer(self, fingerprint):
        """Clear a fingerprint that a target has answered."""
        self._suspects_by_fingerprint.pop(fingerprint, None)

    def _suspect(self, fingerprint, now):
        """Return the entry, a new one, or None if memory is full."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None:
            return suspect
        self._evict(now)
        if len(self._suspects_by_fingerprint) >= self._max_entries:
            self.dropped += 1
            return None
        suspect = _Suspect()
        self._suspects_by_fingerprint[fingerprint] = suspect
        return suspect

    def _evict(self, now):
        """Drop old suspects, then the oldest one that is not blocked."""
        while self._suspects_by_fingerprint:
            oldest = next(iter(self._suspects_by_fingerprint.values()))
            if now - oldest.last_crash_at < SUSPECT_SECONDS:
                break
            self._suspects_by_fingerprint.popitem(last=False)
        if len(self._suspects_by_fingerprint) < self._max_entries:
            return
        for key, suspect in self._suspects_by_fingerprint.items():
            if now >= suspect.blocked_until:
                del self._suspects_by_fingerprint[key]
                return
