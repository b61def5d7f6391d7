"""Idempotency keys: records that keep a keyed request from running twice.

The members are the proxies from which the holders of each key are chosen. The
two holders of a key each keep a record of it (`RecordStore`). The proxy that
receives a keyed request acts as its coordinator (`Coordinator`): it dispatches
the request only after both holders have recorded the key as started, and then
records the answer at both. If there is only one member, it is the only holder.

Two protocols decide which members may act as holders:

- `HolderAgreement`: the members agree among themselves on their set. The
  proxy's `RecordServer` uses this one.
- `Holder` and `ViewPublisher`: one publisher per availability zone numbers
  the sets of members as views, and holders need a lease from it. Only tests
  use this one.
"""

from verbenanotch.idempotency._agreement import (
    Agree,
    Agreed,
    HolderAgreement,
    RecordBatch,
    set_digest,
)
from verbenanotch.idempotency._coordinator import (
    Coordinator,
    Dispatch,
    HolderTable,
)
from verbenanotch.idempotency._holder import (
    Holder,
    group_by_size,
    push_transfers,
)
from verbenanotch.idempotency._keys import issued_at_ms, new_key
from verbenanotch.idempotency._members import (
    RecordHolder,
    View,
    holders_for_key,
    home_zone,
    identities,
    next_view,
    shard_of,
)
from verbenanotch.idempotency._messages import (
    Acknowledged,
    AlreadyFinished,
    Answer,
    Begin,
    Begun,
    Finish,
    Handoff,
    InProgress,
    KeyConflict,
    Lookup,
    MarkUnknown,
    NotSeen,
    OutcomeUnknown,
    Record,
    Refused,
    ReleaseAttempt,
    State,
)
from verbenanotch.idempotency._publisher import ViewPublisher
from verbenanotch.idempotency._records import MAX_ANSWER_BYTES, RecordStore

__all__ = [
    "MAX_ANSWER_BYTES",
    "Acknowledged",
    "Agree",
    "Agreed",
    "AlreadyFinished",
    "Answer",
    "Begin",
    "Begun",
    "Coordinator",
    "Dispatch",
    "Finish",
    "Handoff",
    "Holder",
    "HolderAgreement",
    "HolderTable",
    "InProgress",
    "KeyConflict",
    "Lookup",
    "MarkUnknown",
    "NotSeen",
    "OutcomeUnknown",
    "Record",
    "RecordBatch",
    "RecordHolder",
    "RecordStore",
    "Refused",
    "ReleaseAttempt",
    "State",
    "View",
    "ViewPublisher",
    "group_by_size",
    "holders_for_key",
    "home_zone",
    "identities",
    "issued_at_ms",
    "new_key",
    "set_digest",
    "next_view",
    "push_transfers",
    "shard_of",
]
