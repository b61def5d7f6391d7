"""Client accounts: their keys, the check of a request's key, its rank."""

from verbenanotch.accounts._check import (
    Admitted,
    Freshness,
    KeyMissing,
    KeyUnknown,
    Postponed,
    check_key,
)
from verbenanotch.accounts._freshness import VersionFreshness
from verbenanotch.accounts._rank import combined_priority
from verbenanotch.accounts._records import (
    AccountRecord,
    account_names_by_key_digest,
    account_record,
    key_digest,
)

__all__ = [
    "AccountRecord",
    "Admitted",
    "Freshness",
    "KeyMissing",
    "KeyUnknown",
    "Postponed",
    "VersionFreshness",
    "account_names_by_key_digest",
    "account_record",
    "check_key",
    "combined_priority",
    "key_digest",
]
