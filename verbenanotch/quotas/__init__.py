"""Rates of client accounts that all proxies keep to together.

Proxies report what they admitted to the leader of the log. It tells them
which part of an account's requests to admit once the account may pass its
rate.
"""

from verbenanotch.quotas._account_limits import AccountLimits, Limited
from verbenanotch.quotas._leader import LeaderLimits
from verbenanotch.quotas._ledger import LimitLedger
from verbenanotch.quotas._messages import (
    AccountUsage,
    LimitedAccount,
    LimitHeartbeat,
    LimitUpdate,
    UsageReport,
    UsageRequest,
)
from verbenanotch.quotas._proxy import ProxyLimits

__all__ = [
    "AccountLimits",
    "AccountUsage",
    "LeaderLimits",
    "LimitHeartbeat",
    "LimitLedger",
    "LimitUpdate",
    "Limited",
    "LimitedAccount",
    "ProxyLimits",
    "UsageReport",
    "UsageRequest",
]
