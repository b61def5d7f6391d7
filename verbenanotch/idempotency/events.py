"""Events 7000 to 7999: records of keyed requests and their holders."""

from verbenanotch.telemetry import Level, event

VIEW_GAP = event(
    7001,
    "view-gap",
    Level.ERROR,
    "missed a membership view and holds records no more",
    "The proxy has to join again with a greater incarnation; restart it.",
)
RECORDS_FULL = event(
    7002,
    "records-full",
    Level.WARNING,
    "refused a keyed request, as the memory for records is full",
    "Give the records more memory or a shorter age, or add proxies.",
)
SLICE_LAPSED = event(
    7003,
    "slice-lapsed",
    Level.WARNING,
    "holds a slice without the records of its earlier holders",
    "Keys issued before are answered as unknown; see once-only-records.md.",
)
HOLDERS_UNREACHABLE = event(
    7004,
    "holders-unreachable",
    Level.WARNING,
    "could not reach the holders of a keyed request",
    "Check the network to the home zone of the key; callers may ask again.",
)
KEY_CONFLICT = event(
    7005,
    "key-conflict",
    Level.WARNING,
    "a key came again with another body",
    "Tell the caller to use a new key for a new request.",
)
ATTEMPT_LOST = event(
    7006,
    "attempt-lost",
    Level.WARNING,
    "answered a keyed request as unknown",
    "Find the key's first request in the time line.",
)
