"""The crashes of one fingerprint, as hosts exchange and store them."""

import attrs


@attrs.frozen(kw_only=True)
class CrashRecord:
    """What is known about the crashes of one request.

    `clearances` counts how often an answer has cleared the crashes before.
    `crash_ids` are those since then, each of the crash of one target.
    `age_ms` is the time since the last crash or clearance that was added.

    Of two records the one with more clearances is valid; with equal
    clearances their crash ids are joined. So records may arrive in any order
    and more than once.
    """

    fingerprint: bytes
    clearances: int
    crash_ids: tuple[bytes, ...]
    age_ms: int
