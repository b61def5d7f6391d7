"""The decision about the key of a request.

The load pattern: requests with valid, new, withdrawn and unknown keys, and
calls of targets without a key, at a proxy that may not have the newest
version yet.
"""

import dataclasses
import math

import attrs

from verbenanotch.accounts._records import key_digest
from verbenanotch.catalog import NO_VERSION, Version

# A proxy refuses a key for good only if a control host has confirmed within
# this time that its version is the newest one.
MAX_CONFIRMATION_AGE_SECONDS = 1.0
# Longer than the way of a new version to a proxy, and short for a caller.
POSTPONED_RETRY_AFTER_MS = 200
BEHIND = "accounts-behind"
UNCONFIRMED = "accounts-unconfirmed"


@attrs.frozen(kw_only=True)
class Freshness:
    """What a proxy knows of the age of its version.

    `newest` is the newest version that it has heard of. `age_seconds` is the
    time since it sent the last renewal that a control host answered with the
    proxy's own version, infinite if there was none.
    """

    own: Version = NO_VERSION
    newest: Version = NO_VERSION
    age_seconds: float = math.inf

    @property
    def may_be_behind(self):
        """Whether a newer version is known, or may be in use elsewhere."""
        return (
            self.own < self.newest
            or self.age_seconds > MAX_CONFIRMATION_AGE_SECONDS
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may run; `account` is empty if it belongs to none."""

    account: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyMissing:
    """The route needs a key and the request has none."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyUnknown:
    """No account holds the key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Postponed:
    """This proxy cannot decide now; the caller may retry."""

    reason: str
    retry_after_ms: int = POSTPONED_RETRY_AFTER_MS


def check_key(
    key,
    *,
    names_by_digest,
    is_public,
    accepts_keyless,
    freshness,
    lease_seconds=0.0,
):
    """Return Admitted, KeyMissing, KeyUnknown or Postponed.

    `key` is None if the request has none. `names_by_digest` has the names of
    the accounts by the digests of their keys. `is_public` is whether the
    route needs no key, `accepts_keyless` whether requests without a key
    count as calls of the host's targets. With a `lease_seconds` above 0, a
    version that has not been confirmed for that time admits no request: a
    key may have been withdrawn since.
    """
    account = "" if key is None else names_by_digest.get(key_digest(key), "")
    if is_public:
        return Admitted(account=account)
    if lease_seconds and freshness.age_seconds > lease_seconds:
        return Postponed(reason=UNCONFIRMED)
    if account or (key is None and accepts_keyless):
        return Admitted(account=account)
    if freshness.may_be_behind:
        return Postponed(reason=BEHIND)
    return KeyMissing() if key is None else KeyUnknown()
