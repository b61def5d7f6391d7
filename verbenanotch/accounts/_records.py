"""Client accounts as proxies receive them: with digests in place of keys."""

import hashlib

import attrs

KEY_DIGEST_BYTES = 16
# Separates these digests from other uses of the same hash function.
DIGEST_PERSON = b"verbenanotch-key"


@attrs.frozen(kw_only=True)
class AccountRecord:
    """One client account without its keys; see `catalog.ClientAccount`.

    `key_digests` are those of its keys, in ascending order.
    """

    key_digests: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0


def key_digest(key):
    """Return the digest of a key.

    Proxies store and compare digests only, so that the time of a comparison
    tells nothing about a key.
    """
    return hashlib.blake2b(
        key.encode(), digest_size=KEY_DIGEST_BYTES, person=DIGEST_PERSON
    ).digest()


def account_record(account):
    """Return the AccountRecord of a ClientAccount."""
    return AccountRecord(
        key_digests=tuple(sorted(key_digest(key) for key in account.keys)),
        priority=account.priority,
        rate=account.rate,
        burst=account.burst,
    )


def account_names_by_key_digest(accounts_by_name):
    """Return the name of the account that holds each key, by its digest."""
    return {
        digest: name
        for name, account in accounts_by_name.items()
        for digest in account.key_digests
    }
