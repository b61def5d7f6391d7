"""Messages that carry crash records between hosts."""

import attrs

from verbenanotch.crashes._records import CrashRecord
from verbenanotch.wire import message


@message(600)
@attrs.frozen(kw_only=True)
class CrashRecords:
    """Records to merge into the receiver's table."""

    records: tuple[CrashRecord, ...]


@message(601)
@attrs.frozen(kw_only=True)
class CrashDigest:
    """The digest of the sender's table, sent when a connection is made.

    A receiver whose digest differs replies with all of its records.
    """

    digest: int
