"""Block requests that crash the targets that run them."""

import collections
import dataclasses

import attrs
import xxhash

CRASHES_TO_BLOCK = 2
BASE_BLOCK_SECONDS = 30.0
MAX_BLOCK_SECONDS = 600.0
SUSPECT_RETENTION_SECONDS = 600.0
MAX_SUSPECTS = 4096
# Bounds the notices stored per suspect, and the exponent of its block time.
MAX_NOTICES_PER_SUSPECT = 16
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class CrashNotice:
    """A target crashed with a request in flight; sent to the zone's proxies.

    `host`, `incarnation` and `number` identify the notice, so that one that
    arrives twice is counted once. The sending proxy answers the caller only
    after it has sent the notice, so that every reachable proxy has the notice
    when the caller retries.
    """

    fingerprint: bytes
    host: str
    incarnation: int
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blocked:
    """The request is refused immediately; this attempt was not run.

    `crash_count` is the number of crashes that were counted against it.
    """

    fingerprint: bytes
    crash_count: int
    retry_after_ms: int


@attrs.define(kw_only=True)
class _Suspect:
    """The crashes counted against one fingerprint."""

    seen_notices: set = attrs.field(factory=set)
    crash_count: int = 0
    block_count: int = 0
    blocked_until: float = float("-inf")
    last_crash_at: float = float("-inf")


def fingerprint(*, method, path, body):
    """Return the 16 bytes that identify a request and its repeats.

    They are a hash of the method, the path with its query, and the body.
    Whatever may differ between two repeats is left out: the service, which a
    split route chooses anew, and the idempotency key.
    """
    digest = xxhash.xxh3_128()
    for part in (method, path):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.digest()


class CrashBlocklist:
    """Count target crashes per request fingerprint, in bounded memory.

    The second crash in the zone blocks the fingerprint. After the block
    ends, each further crash blocks it for twice as long. An answer clears
    the fingerprint, because requests that did not cause a crash are also in
    flight when a target crashes.

    Times are monotonic seconds. `refused_count` counts refused requests,
    `dropped_count` crashes that were not counted because the memory was
    full.
    """

    def __init__(self, *, host, incarnation, max_suspects=MAX_SUSPECTS):
        """Start empty; `host` and `incarnation` are this process's own."""
        self._host = host
        self._incarnation = incarnation
        self._max_suspects = max_suspects
        self._suspects_by_fingerprint = collections.OrderedDict()
        self._notice_count = 0
        self.refused_count = 0
        self.dropped_count = 0

    def __len__(self):
        """Return the number of fingerprints with counted crashes."""
        return len(self._suspects_by_fingerprint)

    def check(self, fingerprint, now):
        """Return Blocked if the request must be refused, else None."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or now >= suspect.blocked_until:
            return None
        self.refused_count += 1
        remaining_ms = (suspect.blocked_until - now) * MILLISECONDS_PER_SECOND
        return Blocked(
            fingerprint=fingerprint,
            crash_count=suspect.crash_count,
            retry_after_ms=int(remaining_ms) + 1,
        )

    def record_crash(self, fingerprint, now):
        """Count a crash of a local target; return the notice to send."""
        self._notice_count += 1
        notice = CrashNotice(
            fingerprint=fingerprint,
            host=self._host,
            incarnation=self._incarnation,
            number=self._notice_count,
        )
        self.record_notice(notice, now)
        return notice

    def record_notice(self, notice, now):
        """Count a notice once; return whether it blocks the fingerprint."""
        suspect = self._get_or_add(notice.fingerprint, now)
        notice_id = (notice.host, notice.incarnation, notice.number)
        if suspect is None or notice_id in suspect.seen_notices:
            return False
        if len(suspect.seen_notices) >= MAX_NOTICES_PER_SUSPECT:
            suspect.seen_notices.clear()
        suspect.seen_notices.add(notice_id)
        suspect.crash_count += 1
        suspect.last_crash_at = now
        self._suspects_by_fingerprint.move_to_end(notice.fingerprint)
        if suspect.crash_count < CRASHES_TO_BLOCK:
            return False
        block_seconds = min(
            MAX_BLOCK_SECONDS, BASE_BLOCK_SECONDS * 2**suspect.block_count
        )
        suspect.block_count = min(
            suspect.block_count + 1, MAX_NOTICES_PER_SUSPECT
        )
        suspect.blocked_until = max(suspect.blocked_until, now + block_seconds)
        return True

    def record_answer(self, fingerprint):
        """Remove the fingerprint of a request that a target has answered.

        Returns the number of crashes that were counted against it.
        """
        suspect = self._suspects_by_fingerprint.pop(fingerprint, None)
        return 0 if suspect is None else suspect.crash_count

    def crash_count(self, fingerprint):
        """Return the number of crashes counted against a fingerprint."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return 0 if suspect is None else suspect.crash_count

    def _get_or_add(self, fingerprint, now):
        """Return the suspect of a fingerprint, or None if memory is full."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None:
            return suspect
        self._evict(now)
        if len(self._suspects_by_fingerprint) >= self._max_suspects:
            self.dropped_count += 1
            return None
        suspect = _Suspect()
        self._suspects_by_fingerprint[fingerprint] = suspect
        return suspect

    def _evict(self, now):
        """Remove expired suspects.

        If there is still no space for another one, remove the unblocked
        suspect whose last crash is the oldest.
        """
        while self._suspects_by_fingerprint:
            oldest = next(iter(self._suspects_by_fingerprint.values()))
            if now - oldest.last_crash_at < SUSPECT_RETENTION_SECONDS:
                break
            self._suspects_by_fingerprint.popitem(last=False)
        if len(self._suspects_by_fingerprint) < self._max_suspects:
            return
        for fingerprint, suspect in self._suspects_by_fingerprint.items():
            if now >= suspect.blocked_until:
                del self._suspects_by_fingerprint[fingerprint]
                return
