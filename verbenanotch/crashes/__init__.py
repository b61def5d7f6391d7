"""Requests that crash the targets that run them.

All hosts keep one list of crashes by request fingerprint. It is merged from
host to host, kept on the disks of the control hosts, and decides which
requests are refused.
"""

from verbenanotch.crashes._blocking import Allowed, Blocked, Exclusive
from verbenanotch.crashes._exchange import CrashExchange
from verbenanotch.crashes._fingerprint import fingerprint
from verbenanotch.crashes._messages import CrashDigest, CrashRecords
from verbenanotch.crashes._records import CrashRecord
from verbenanotch.crashes._storage import CrashStorage
from verbenanotch.crashes._table import CrashTable

__all__ = [
    "Allowed",
    "Blocked",
    "CrashDigest",
    "CrashExchange",
    "CrashRecord",
    "CrashRecords",
    "CrashStorage",
    "CrashTable",
    "Exclusive",
    "fingerprint",
]
